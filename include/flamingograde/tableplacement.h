/// What a table says of the placement of idempotency keys.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/revision.h>

#include <optional>
#include <vector>

namespace flamingograde {

/// The active slots of a service in a zone.
struct ZoneSlots
{
    ServiceId service;
    ZoneId zone;
    double slots = 0; ///< Above 0.

    friend auto operator==(const ZoneSlots &a, const ZoneSlots &b) -> bool
    {
        return a.service == b.service && a.zone == b.zone && a.slots == b.slots;
    }
};

/// The part of a table that decides in which zone a key is run. Kept, and handed to other hosts,
/// while keys can come that were made under it.
struct TablePlacement
{
    Revision revision;
    WallTime published;           ///< When the platform published it.
    std::vector<ZoneSlots> zones; ///< Sorted by service and zone.

    /// When all hosts were known to have this placement and the same ones before it.
    std::optional<WallTime> agreed;
};

} // namespace flamingograde
