/// Knows the hosts of the own availability zone and a few of each other.
#pragma once

#include "core/membership/listexchange.h"
#include "core/membership/pausewatch.h"
#include "core/membership/seeddialer.h"
#include "core/overlay/linkkeeper.h"
#include "core/overlay/lostmembers.h"
#include "core/overlay/newsspread.h"

#include <flamingograde/clock.h>
#include <flamingograde/event.h>

namespace flamingograde {

class Blackboard;
struct ViewChanges;

/// The membership of hosts that carry packets.
///
/// They need other hosts for nothing but to hear what is new in the directory: a packet is decided
/// by its host alone. So nobody has to agree on who is alive, and no word of it is sent around: a
/// host keeps few connections and judges only those (`LinkKeeper`). Joins, stops and deaths of a
/// zone's hosts are told within the zone, along its hubs (`NewsSpread`, `LostMembers`).
/// @remarks Not thread safe. Throws nothing.
class OverlayController
{
public:
    /// Takes one event. Precondition: `board.now` is the time of it.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    auto start(Blackboard &board) -> void;
    auto on(Blackboard &board, const PeerUp &up, ViewChanges &changes) -> void;
    auto on(Blackboard &board, const PeerDown &down) -> void;
    auto on(Blackboard &board, const PeerMessage &received, ViewChanges &changes) -> void;
    auto on(Blackboard &board, const SeedsRead &read) -> void;
    auto on(Blackboard &board, const Tick &tick, ViewChanges &changes) -> void;
    auto leave(Blackboard &board, ViewChanges &changes) -> void;

    LinkKeeper links;
    LostMembers lostMembers;
    NewsSpread news;
    SeedDialer seeds { SeedEffort::OneAtATime };
    ListExchange lists;
    PauseWatch pauses;
    MonoTime nextTrim;
    bool started = false;
    bool goodbyeSaid = false;
};

} // namespace flamingograde
