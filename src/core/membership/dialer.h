/// Opens connections to other hosts.
#pragma once

#include <flamingograde/event.h>
#include <flamingograde/ids.h>

#include <vector>

namespace flamingograde {

class Blackboard;

/// Dials the hosts that the local host should be connected with, with backoff after failures.
/// @remarks Not thread safe.
class Dialer
{
public:
    /// Dials those of `wanted` that are due. Precondition: called on each `Tick`.
    auto tick(Blackboard &board, const std::vector<HostId> &wanted) -> void;
    /// Records a new connection. Precondition: `host` is a known member.
    auto connected(Blackboard &board, HostId host) -> void;
    /// Records a lost connection or a failed dial, and sets the time of the next dial.
    auto lost(Blackboard &board, const PeerDown &down) -> void;
};

} // namespace flamingograde
