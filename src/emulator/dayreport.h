/// Formats the results of a day as JSON and as text.
#pragma once

#include "emulator/dayresult.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace flamingograde::emulator {

/// Returns all results of a day as JSON. Thread safe.
[[nodiscard]] auto toJson(const DayResult &day) -> nlohmann::json;

/// Returns the column headings for `toLine`. Thread safe.
[[nodiscard]] auto lineHeader() -> std::string;

/// Formats the main results of a day as one table row. Thread safe.
[[nodiscard]] auto toLine(const std::string &name, const DayResult &day) -> std::string;

} // namespace flamingograde::emulator
