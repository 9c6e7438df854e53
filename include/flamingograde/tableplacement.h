/// How a table places idempotency keys in zones.
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

/// The part of a table that determines in which zone the request with a key is run. It is stored,
/// and sent to other hosts, as long as requests may arrive whose keys were made while it applied.
struct TablePlacement
{
    Revision revision;
    WallTime published;           ///< When the platform published it.
    std::vector<ZoneSlots> zones; ///< Sorted by service and zone.

    /// Time at which all hosts were known to have this placement and the same earlier ones.
    std::optional<WallTime> agreed;
};

} // namespace flamingograde
