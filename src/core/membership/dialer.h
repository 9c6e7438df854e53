/// Keeps connections with other hosts.
#pragma once

#include <flamingograde/event.h>
#include <flamingograde/ids.h>

#include <cstddef>
#include <cstdint>
#include <set>

namespace flamingograde {

class Blackboard;

/// Dials the hosts that this one should be connected with, and backs off where that fails.
///
/// In a small fleet these are all hosts; in a large one those of the own zone and a few of each
/// other.
/// @remarks Not thread safe.
class Dialer
{
public:
    /// Dials what is due. Precondition: to be called on each `Tick`.
    auto tick(Blackboard &board) -> void;
    /// Takes a new connection. The member is known.
    auto connected(Blackboard &board, HostId host) -> void;
    /// Takes the loss of a connection or a failed dial.
    auto lost(Blackboard &board, const PeerDown &down) -> void;
    /// Returns whether this host should be connected with `host`.
    [[nodiscard]] auto wants(HostId host) const -> bool { return this->wanted.count(host) != 0; }

private:
    auto choose(const Blackboard &board) -> void;

    std::set<HostId> wanted;
    std::uint64_t chosenVersion = 0;
    std::size_t chosenSize = 0;
};

} // namespace flamingograde
