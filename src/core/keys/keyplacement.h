/// Maps an idempotency key to its zone under a given table.
#pragma once

#include <flamingograde/ids.h>
#include <flamingograde/tableplacement.h>

#include <string_view>
#include <vector>

namespace flamingograde {

class Table;

/// Returns the total slots of the active upstreams of `service` in `zone`.
/// @remarks Thread safe.
[[nodiscard]] auto activeSlots(const Table &table, ServiceId service, ZoneId zone) -> double;

/// Returns the active slots of each service and zone of `table`, sorted; without pairs that have
/// none.
/// @remarks Thread safe.
[[nodiscard]] auto activeZones(const Table &table) -> std::vector<ZoneSlots>;

/// Returns whether `service` has active slots in `zone`. Precondition: `zones` is sorted.
/// @remarks Thread safe.
[[nodiscard]] auto isActive(const std::vector<ZoneSlots> &zones, ServiceId service, ZoneId zone)
        -> bool;

/// Returns whether two tables place every key of `service` in the same zone. Compares the slots, so
/// that it may return false for tables that place all keys alike, but never true for others.
/// Precondition: both are sorted.
/// @remarks Thread safe.
[[nodiscard]] auto haveSamePlacement(const std::vector<ZoneSlots> &a,
                                     const std::vector<ZoneSlots> &b, ServiceId service) -> bool;

/// Returns the zone in which `key` is run; invalid if the service has no active upstream. Depends
/// on the active slots and the key alone, so that all hosts with the same table agree.
///
/// A key `ZONE.UUID` stays in its zone while the service has active upstreams there. All other keys
/// are distributed over the service's zones in proportion to their active slots.
/// Precondition: `zones` is sorted.
/// @remarks Thread safe.
[[nodiscard]] auto zoneOfKey(const std::vector<ZoneSlots> &zones, ServiceId service,
                             std::string_view key) -> ZoneId;

/// Returns the zone in which `key` is run by `table`, by the same rules. Slow: collects the active
/// slots of the whole table.
/// @remarks Thread safe.
[[nodiscard]] auto zoneOfKey(const Table &table, ServiceId service, std::string_view key) -> ZoneId;

} // namespace flamingograde
