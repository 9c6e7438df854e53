/// Formats values for printed tables and table diffs.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/upstream.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace flamingograde {

/// Returns the state as the table spells it: "active" or "draining".
/// @remarks Thread safe.
[[nodiscard]] auto toString(UpstreamState state) -> std::string_view;

/// Returns "true" or "false".
/// @remarks Thread safe.
[[nodiscard]] auto toString(bool value) -> std::string_view;

/// Returns the whole milliseconds of `duration`; a fraction is dropped.
/// @remarks Thread safe.
[[nodiscard]] auto toMilliseconds(Duration duration) -> std::uint64_t;

/// Returns `share`, from 0 to 1, as a rounded percentage such as "29%".
/// @remarks Thread safe.
[[nodiscard]] auto percentText(double share) -> std::string;

} // namespace flamingograde
