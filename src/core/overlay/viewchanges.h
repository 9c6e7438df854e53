/// Changes of a host's view of its availability zone by one event.
#pragma once

#include <cstddef>
#include <string>

namespace flamingograde {

/// Numbers of changed hosts, and the names of the first few, for one log line.
struct ViewChanges
{
    std::size_t joined = 0; ///< New or restarted hosts.
    std::size_t leaving = 0;
    std::size_t dead = 0;
    std::string names; ///< Separated by commas.

    /// Returns the number of changes. Precondition: none.
    [[nodiscard]] auto count() const -> std::size_t
    {
        return this->joined + this->leaving + this->dead;
    }
};

} // namespace flamingograde
