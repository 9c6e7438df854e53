/// Parses the Prometheus text format.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace harness {

/// Returns the samples of `text` as a JSON object. Each sample is under its name with the labels as
/// written. The sum over all labels is under the name alone.
[[nodiscard]] auto parseMetrics(const std::string &text) -> nlohmann::json;

} // namespace harness
