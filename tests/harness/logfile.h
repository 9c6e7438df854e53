/// Reads the log files of hosts.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <filesystem>
#include <string>

namespace harness {

/// Returns the last `count` lines of `file`, each indented by four spaces.
[[nodiscard]] auto lastLines(const std::filesystem::path &file, std::size_t count) -> std::string;

/// Returns the number of occurrences of each event number in the log, such as `{"302": 1}`.
[[nodiscard]] auto countEvents(const std::filesystem::path &file) -> nlohmann::json;

} // namespace harness
