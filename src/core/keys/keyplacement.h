/// Which zone an idempotency key belongs to under one table.
#pragma once

#include <flamingograde/ids.h>
#include <flamingograde/tableplacement.h>

#include <string_view>
#include <vector>

namespace flamingograde {

class Table;

/// Returns the sum of slots of the active upstreams of `service` in `zone`.
/// @remarks Thread safe.
[[nodiscard]] auto activeSlots(const Table &table, ServiceId service, ZoneId zone) -> double;

/// Returns the active slots of each service and zone of `table` that has any, sorted.
/// @remarks Thread safe.
[[nodiscard]] auto activeZones(const Table &table) -> std::vector<ZoneSlots>;

/// Returns whether `service` has active slots in `zone`. Precondition: `zones` is sorted.
/// @remarks Thread safe.
[[nodiscard]] auto isActive(const std::vector<ZoneSlots> &zones, ServiceId service, ZoneId zone)
        -> bool;

/// Returns whether two tables lead every key of `service` to the same zone.
/// Precondition: both are sorted.
/// @remarks Thread safe. May say no where they do.
[[nodiscard]] auto placesAlike(const std::vector<ZoneSlots> &a, const std::vector<ZoneSlots> &b,
                               ServiceId service) -> bool;

/// Returns the zone in which `key` is run; a function of the active slots and the key alone, so
/// that all hosts with one table agree. Invalid where the service has no active upstream.
///
/// A key `ZONE.UUID` stays in its zone while that has active upstreams; any other is spread over
/// the service's zones in proportion to their active slots.
/// Precondition: `zones` is sorted.
/// @remarks Thread safe.
[[nodiscard]] auto zoneOfKey(const std::vector<ZoneSlots> &zones, ServiceId service,
                             std::string_view key) -> ZoneId;

/// The same for `table`. Slow.
/// @remarks Thread safe.
[[nodiscard]] auto zoneOfKey(const Table &table, ServiceId service, std::string_view key) -> ZoneId;

} // namespace flamingograde
