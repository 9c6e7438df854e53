/// Reads TOML files as JSON values.
#pragma once

#include <nlohmann/json.hpp>

#include <filesystem>

namespace harness {

/// Returns the content of `file`. Throws `std::runtime_error` with the position of a syntax error.
[[nodiscard]] auto readToml(const std::filesystem::path &file) -> nlohmann::json;

} // namespace harness
