/// Reads the Prometheus text format.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace harness {

/// Returns the samples of `text` as a JSON object: each by its name with labels as written, and the
/// sum over all labels by its bare name.
[[nodiscard]] auto parseMetrics(const std::string &text) -> nlohmann::json;

} // namespace harness
