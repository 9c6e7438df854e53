/// Which zone an idempotency key belongs to.
#pragma once

#include <flamingograde/ids.h>

#include <string_view>

namespace flamingograde {

class Table;

/// Returns the sum of slots of the active upstreams of `service` in `zone`.
/// @remarks Thread safe.
[[nodiscard]] auto activeSlots(const Table &table, ServiceId service, ZoneId zone) -> double;

/// Returns whether two tables lead every key of `service` to the same zone.
/// @remarks Thread safe. May say no where they do.
[[nodiscard]] auto placesAlike(const Table &a, const Table &b, ServiceId service) -> bool;

/// Returns the zone in which `key` is run; a function of the table and the key alone, so that all
/// hosts with one table agree. Invalid where the service has no active upstream.
///
/// A key `ZONE.UUID` stays in its zone while that has active upstreams; any other is spread over
/// the service's zones in proportion to their active slots.
/// @remarks Thread safe.
[[nodiscard]] auto zoneOfKey(const Table &table, ServiceId service, std::string_view key) -> ZoneId;

} // namespace flamingograde
