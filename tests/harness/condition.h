/// Evaluates the conditions that a scenario step sets on a JSON value.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace harness {

/// Returns the member of `value` at a dotted path such as "totals.runs", or null if there is none.
/// Within an array of objects, a path component selects the object with that `name` field.
[[nodiscard]] auto valueAt(const nlohmann::json &value, const std::string &path) -> nlohmann::json;

/// Adds each number in `other` to the member of `sum` at the same path. Ignores other types.
auto addNumbers(nlohmann::json &sum, const nlohmann::json &other) -> void;

/// Checks `value` against the tables `eq`, `ne`, `ge` and `le` of `step`. Each table maps paths to
/// bounds.
/// @returns one message for each condition that fails. A condition on a missing path fails.
[[nodiscard]] auto failedConditions(const nlohmann::json &step, const nlohmann::json &value)
        -> std::vector<std::string>;

} // namespace harness
