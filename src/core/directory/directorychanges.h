/// The changes that an update made to a host's directory.
#pragma once

#include <flamingograde/zoneevacuation.h>

#include <cstdint>
#include <vector>

namespace flamingograde {

/// Indices of the changed entries, by kind of change.
struct DirectoryChanges
{
    bool advanced = false;                   ///< The revision increased.
    bool rowsChanged = false;                ///< The rows were replaced.
    std::vector<std::uint32_t> listed;       ///< Newly registered, or registered again.
    std::vector<std::uint32_t> leaving;      ///< Changed from active to draining.
    std::vector<std::uint32_t> missing;      ///< Removal deferred: it may register again.
    std::vector<std::uint32_t> removed;      ///< Removed; kept as a tombstone.
    std::vector<std::uint32_t> restarted;    ///< Restarted under the same instance.
    std::vector<std::uint32_t> faulty;       ///< Their platform entries became unusable.
    std::vector<std::uint32_t> sharedCookie; ///< Cookie is owned by an older upstream.
    std::vector<ZoneEvacuation> evacuations; ///< Evacuations that began or ended.
};

} // namespace flamingograde
