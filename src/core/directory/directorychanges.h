/// What an update changed in a host's directory.
#pragma once

#include <flamingograde/zoneevacuation.h>

#include <cstdint>
#include <vector>

namespace flamingograde {

/// Indices of the entries that changed, by what happened to them.
struct DirectoryChanges
{
    bool advanced = false;                   ///< The revision rose.
    bool rowsChanged = false;                ///< Other rows are in force.
    std::vector<std::uint32_t> listed;       ///< New, or back.
    std::vector<std::uint32_t> leaving;      ///< Draining now.
    std::vector<std::uint32_t> missing;      ///< May come back.
    std::vector<std::uint32_t> removed;      ///< Gone.
    std::vector<std::uint32_t> restarted;    ///< Started again under the same instance.
    std::vector<std::uint32_t> faulty;       ///< Their entries cannot be used any more.
    std::vector<std::uint32_t> sharedCookie; ///< Have the cookie of an older one.
    std::vector<ZoneEvacuation> evacuations; ///< Evacuations that began or ended.
};

} // namespace flamingograde
