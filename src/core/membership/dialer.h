/// Keeps connections with other hosts.
#pragma once

#include <flamingograde/event.h>
#include <flamingograde/ids.h>

#include <vector>

namespace flamingograde {

class Blackboard;

/// Dials the hosts that this one should be connected with, and backs off where that fails.
/// @remarks Not thread safe.
class Dialer
{
public:
    /// Dials those of `wanted` that are due. Precondition: to be called on each `Tick`.
    auto tick(Blackboard &board, const std::vector<HostId> &wanted) -> void;
    /// Takes a new connection. The member is known.
    auto connected(Blackboard &board, HostId host) -> void;
    /// Takes the loss of a connection or a failed dial.
    auto lost(Blackboard &board, const PeerDown &down) -> void;
};

} // namespace flamingograde
