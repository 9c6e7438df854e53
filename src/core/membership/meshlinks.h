/// With whom a host of HTTP rows keeps connections.
#pragma once

#include <flamingograde/ids.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace flamingograde {

class Blackboard;

/// In a small fleet these are all hosts; in a large one those of the own zone and a few of each
/// other. The hosts of a zone decide together who is home of a cell, so each hears all others.
/// @remarks Not thread safe.
class MeshLinks
{
public:
    /// Chooses anew where the members changed. Precondition: to be called on each `Tick`.
    auto choose(const Blackboard &board) -> void;
    /// Returns the hosts chosen, sorted. Precondition: none.
    [[nodiscard]] auto wanted() const -> const std::vector<HostId> & { return this->chosen; }
    /// Returns whether this host should be connected with `host`. Precondition: none.
    [[nodiscard]] auto wants(HostId host) const -> bool;

private:
    std::vector<HostId> chosen;
    std::uint64_t chosenVersion = 0;
    std::size_t chosenSize = 0;
};

} // namespace flamingograde
