/// What a scenario expects of a JSON value.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace harness {

/// Returns the member of `value` at a path such as "totals.runs"; null where there is none.
/// In an array of objects, a part of the path is the `name` of the member that is meant.
[[nodiscard]] auto valueAt(const nlohmann::json &value, const std::string &path) -> nlohmann::json;

/// Adds the numbers of `other` to those of `sum`, member by member.
auto addNumbers(nlohmann::json &sum, const nlohmann::json &other) -> void;

/// Checks the tables `eq`, `ne`, `ge` and `le` of `step`, each of paths and bounds, against
/// `value`.
/// @returns a text for each that does not hold. A path that is missing does not hold.
[[nodiscard]] auto failedConditions(const nlohmann::json &step, const nlohmann::json &value)
        -> std::vector<std::string>;

} // namespace harness
