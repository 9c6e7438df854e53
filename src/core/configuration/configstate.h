/// The table in force and the state of the platform.
#pragma once

#include "core/keys/placementhistory.h"

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/revision.h>
#include <flamingograde/table.h>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace flamingograde {

/// The table in force, its key placements, and when the platform was last heard.
/// @remarks Written by the configuration controller only. Not thread safe.
class ConfigState
{
public:
    /// @param clockBound largest difference between any two wall clocks of hosts, callers and the
    /// platform.
    explicit ConfigState(Duration clockBound) : placements(clockBound) {}

    std::shared_ptr<const Table> table = std::make_shared<const Table>(); ///< Never null.
    Revision revision;        ///< Revision of `table`; invalid before the first table.
    std::uint64_t digest = 0; ///< Hash of `text`.
    std::string text;         ///< The text of `table`.
    WallTime published;       ///< When the platform published `table`.

    /// Returns whether `upstream` is not used yet because its address recently belonged to another
    /// service.
    [[nodiscard]] auto isQuarantined(UpstreamId upstream, MonoTime now) const -> bool;

    PlacementHistory placements; ///< Key placements of `table` and of earlier tables.
    std::unordered_map<UpstreamId, MonoTime> quarantinedUntil; ///< End of each quarantine.
    MonoTime platformLastHeard; ///< When the platform last answered any host, as far as known.
    bool platformKnown = false; ///< Whether `platformLastHeard` has been set.

    /// Returns the time since the platform last answered this host or one that it heard from, or
    /// `Duration::max()` if it never did.
    [[nodiscard]] auto platformAge(MonoTime now) const -> Duration;
    /// Records that the platform answered at `at`; earlier times than the known one are ignored.
    auto notePlatform(MonoTime at) -> void;
};

} // namespace flamingograde
