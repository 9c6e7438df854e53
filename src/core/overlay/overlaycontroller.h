/// Membership of hosts that forward packets: all hosts of the own availability zone and a few of
/// each other zone.
#pragma once

#include "core/loadreports/demandreporter.h"
#include "core/membership/listexchange.h"
#include "core/membership/pausedetector.h"
#include "core/membership/seeddialer.h"
#include "core/overlay/changebroadcaster.h"
#include "core/overlay/deadhostdetector.h"
#include "core/overlay/linkmanager.h"

#include <flamingograde/clock.h>
#include <flamingograde/event.h>

namespace flamingograde {

class Blackboard;
struct ViewChanges;

/// Membership of hosts that forward packets.
///
/// Such hosts need each other only to receive changes of the directory: each host decides on its
/// packets alone. Hosts therefore need not agree on which hosts are alive, and suspicions are not
/// gossiped: a host keeps few connections and checks only those (`LinkManager`). Joins, stops and
/// deaths of a zone's hosts are announced within the zone, along its hubs (`ChangeBroadcaster`,
/// `DeadHostDetector`).
/// @remarks Not thread safe. Throws nothing.
class OverlayController
{
public:
    /// Handles one event. Precondition: `board.now` is the time of the event.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    auto start(Blackboard &board) -> void;
    auto on(Blackboard &board, const PeerUp &up, ViewChanges &changes) -> void;
    auto on(Blackboard &board, const PeerDown &down) -> void;
    auto on(Blackboard &board, const PeerMessage &received, ViewChanges &changes) -> void;
    auto on(Blackboard &board, const SeedsRead &read) -> void;
    auto on(Blackboard &board, const Tick &tick, ViewChanges &changes) -> void;
    auto leave(Blackboard &board, ViewChanges &changes) -> void;

    LinkManager links;
    DeadHostDetector deadHosts;
    ChangeBroadcaster changeBroadcaster;
    DemandReporter demandReporter;
    SeedDialer seeds { SeedDialMode::OneAtATime };
    ListExchange lists;
    PauseDetector pauses;
    MonoTime nextTrim;
    bool started = false;
    bool departureAnnounced = false;
};

} // namespace flamingograde
