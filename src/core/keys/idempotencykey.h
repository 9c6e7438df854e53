/// The text of idempotency keys: `UUID`, `ZONE.UUID` or any other printable text.
#pragma once

#include <flamingograde/clock.h>

#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace flamingograde {

/// Returns whether `key` may be used: not too long, visible ASCII only.
/// @remarks Thread safe.
[[nodiscard]] auto isWellFormedKey(std::string_view key) -> bool;

/// Returns when a key that is, or ends in, a UUIDv7 (RFC 9562) was made; else nothing.
/// @remarks Thread safe.
[[nodiscard]] auto keyBirthOf(std::string_view key) -> std::optional<WallTime>;

/// Returns the zone's name of a key `ZONE.UUID`; empty for any other key.
/// @remarks Thread safe.
[[nodiscard]] auto keyZoneNameOf(std::string_view key) -> std::string_view;

/// Returns `ZONE.UUID` for a key that is or ends in a UUID.
/// @remarks Thread safe.
[[nodiscard]] auto keyInZone(const std::string &zoneName, std::string_view key) -> std::string;

/// Returns a new UUIDv7 of the time `wall`.
[[nodiscard]] auto makeUuidV7(std::mt19937_64 &random, WallTime wall) -> std::string;

} // namespace flamingograde
