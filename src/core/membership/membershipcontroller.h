/// Tracks which hosts of the fleet are running.
#pragma once

#include "core/membership/dialer.h"
#include "core/membership/failuredetector.h"
#include "core/membership/listexchange.h"
#include "core/membership/meshlinks.h"
#include "core/membership/pausedetector.h"
#include "core/membership/seeddialer.h"

#include <flamingograde/event.h>

namespace flamingograde {

class Blackboard;

/// Maintains the member list from seeds, the platform's host list, which lags behind, and messages
/// from the hosts themselves.
///
/// Implements a membership protocol like SWIM: probes, indirect probes, suspicion with refutation
/// by incarnation, and gossip piggybacked on the probes.
/// @remarks Not thread safe. Throws nothing.
class MembershipController
{
public:
    /// Handles one event. Precondition: `board.now` is the time of the event.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    auto start(Blackboard &board) -> void;
    auto on(Blackboard &board, const HostsFetched &fetched) -> void;
    auto on(Blackboard &board, const PeerUp &up) -> void;
    auto on(Blackboard &board, const PeerDown &down) -> void;
    auto on(Blackboard &board, const PeerMessage &received) -> void;
    auto on(Blackboard &board, const SeedsRead &read) -> void;
    auto on(Blackboard &board, const Tick &tick) -> void;
    auto leave(Blackboard &board) -> void;

    MeshLinks mesh;
    Dialer dialer;
    SeedDialer seeds { SeedDialMode::All };
    FailureDetector detector;
    ListExchange lists;
    PauseDetector pauses;
    bool started = false;
    bool deathAnnounced = false;
};

} // namespace flamingograde
