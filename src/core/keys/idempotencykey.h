/// Parses and creates idempotency keys: `UUID`, `ZONE.UUID` or any other printable text.
#pragma once

#include <flamingograde/clock.h>

#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace flamingograde {

/// Returns whether `key` consists of visible ASCII only and is at most `config::keyBytesMax` bytes
/// long.
/// @remarks Thread safe.
[[nodiscard]] auto isWellFormedKey(std::string_view key) -> bool;

/// Returns the creation time of a key that is a UUIDv7 (RFC 9562) or ends in a dot and one; nothing
/// for any other key.
/// @remarks Thread safe.
[[nodiscard]] auto keyCreationTime(std::string_view key) -> std::optional<WallTime>;

/// Returns the zone name in a key `ZONE.UUID` whose UUID is a UUIDv7; empty for any other key.
/// @remarks Thread safe.
[[nodiscard]] auto keyZoneNameOf(std::string_view key) -> std::string_view;

/// Returns the key `ZONE.UUID`, made of `zoneName` and the UUID that `key` is or ends in.
/// @remarks Thread safe.
[[nodiscard]] auto keyInZone(const std::string &zoneName, std::string_view key) -> std::string;

/// Returns a new UUIDv7 with `wall` as its timestamp.
[[nodiscard]] auto makeUuidV7(std::mt19937_64 &random, WallTime wall) -> std::string;

} // namespace flamingograde
