/// Reads TOML files of tests as JSON values.
#pragma once

#include <nlohmann/json.hpp>

#include <filesystem>

namespace harness {

/// Returns the content of `file`. Throws `std::runtime_error` with the fault's place.
[[nodiscard]] auto readToml(const std::filesystem::path &file) -> nlohmann::json;

} // namespace harness
