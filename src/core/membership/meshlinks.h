/// Selects the hosts with which a host that serves HTTP rows keeps connections.
#pragma once

#include <flamingograde/ids.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace flamingograde {

class Blackboard;

/// Selects all hosts in a small fleet, and in a large one the hosts of the local zone and a few of
/// each other zone. The hosts of a zone decide together who is home of a cell, so each of them is
/// connected with all others.
/// @remarks Not thread safe.
class MeshLinks
{
public:
    /// Repeats the selection if the members changed. Precondition: called on each `Tick`.
    auto choose(const Blackboard &board) -> void;
    /// Returns the selected hosts, sorted by id. Precondition: none.
    [[nodiscard]] auto wanted() const -> const std::vector<HostId> & { return this->chosen; }
    /// Returns whether the local host should be connected with `host`. Precondition: none.
    [[nodiscard]] auto wants(HostId host) const -> bool;

private:
    std::vector<HostId> chosen;
    std::uint64_t chosenVersion = 0;
    std::size_t chosenSize = 0;
};

} // namespace flamingograde
