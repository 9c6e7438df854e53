/// What one event changed in a host's view of its availability zone.
#pragma once

#include <cstddef>
#include <string>

namespace flamingograde {

/// Counts of hosts, and the names of the first few, for one log line.
struct ViewChanges
{
    std::size_t joined = 0; ///< New, or started again.
    std::size_t leaving = 0;
    std::size_t dead = 0;
    std::string names;

    /// Returns the number of changes. Precondition: none.
    [[nodiscard]] auto count() const -> std::size_t
    {
        return this->joined + this->leaving + this->dead;
    }
};

} // namespace flamingograde
