/// The table in force.
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

/// The table in force and what is known of the platform.
/// @remarks Written by the configuration controller only. Not thread safe.
class ConfigState
{
public:
    /// @param clockBound largest difference between two clocks.
    explicit ConfigState(Duration clockBound) : placements(clockBound) {}

    std::shared_ptr<const Table> table = std::make_shared<const Table>(); ///< Never null.
    Revision revision;        ///< Of `table`; invalid before the first.
    std::uint64_t digest = 0; ///< Hash of `text`.
    std::string text;         ///< The text of `table`.
    WallTime published;       ///< When the platform published it.

    /// Returns whether the address of `upstream` waits because it lately belonged to another
    /// service.
    [[nodiscard]] auto isQuarantined(UpstreamId upstream, MonoTime now) const -> bool;

    PlacementHistory placements;                               ///< Of `table` and those before it.
    std::unordered_map<UpstreamId, MonoTime> quarantinedUntil; ///< By upstream of `table`.
    MonoTime platformHeard;     ///< When this host, or one it heard from, last heard the platform.
    bool platformKnown = false; ///< Whether `platformHeard` was ever set.

    /// Returns how long ago the platform was last heard by this host or one it heard from.
    [[nodiscard]] auto platformAge(MonoTime now) const -> Duration;
    /// Notes that the platform was heard at `at`.
    auto notePlatform(MonoTime at) -> void;
};

} // namespace flamingograde
