/// Parser for day files (TOML).
#pragma once

#include "emulator/plan.h"

#include <flamingograde/finding.h>

#include <tl/expected.hpp>

#include <string_view>

namespace flamingograde::emulator {

/// Parses and validates a day file; docs/EMULATOR.md describes the format.
/// @param file the file name reported in findings.
/// @returns the day, or all errors found.
/// @remarks Thread safe. Throws nothing.
[[nodiscard]] auto parseDay(std::string_view text, std::string_view file)
        -> tl::expected<DayPlan, Findings>;

} // namespace flamingograde::emulator
