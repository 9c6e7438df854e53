#include "harness/condition.h"

#include <sstream>

namespace harness {

namespace {

/// Returns the object in `array` whose `name` field equals `name`, or null.
auto findByName(const nlohmann::json &array, const std::string &name) -> const nlohmann::json *
{
    for (const auto &member : array) {
        if (member.is_object() && member.value("name", "") == name) {
            return &member;
        }
    }
    return nullptr;
}

auto holds(const std::string &relation, const nlohmann::json &value, const nlohmann::json &bound)
        -> bool
{
    if (value.is_null()) {
        return false;
    }
    if (relation == "eq") {
        return value == bound;
    }
    if (relation == "ne") {
        return value != bound;
    }
    return relation == "ge" ? value >= bound : value <= bound;
}

} // namespace

auto valueAt(const nlohmann::json &value, const std::string &path) -> nlohmann::json
{
    const nlohmann::json *at = &value;
    std::istringstream parts(path);
    for (std::string part; std::getline(parts, part, '.');) {
        if (at->is_array()) {
            at = findByName(*at, part);
        } else {
            at = at->is_object() && at->contains(part) ? &at->at(part) : nullptr;
        }
        if (at == nullptr) {
            return nullptr;
        }
    }
    return *at;
}

auto addNumbers(nlohmann::json &sum, const nlohmann::json &other) -> void
{
    if (other.is_object()) {
        for (const auto &[name, value] : other.items()) {
            if (value.is_object() || value.is_number()) {
                addNumbers(sum[name], value);
            }
        }
    } else if (other.is_number()) {
        sum = (sum.is_number() ? sum.get<double>() : 0) + other.get<double>();
    }
}

auto failedConditions(const nlohmann::json &step, const nlohmann::json &value)
        -> std::vector<std::string>
{
    std::vector<std::string> failed;
    for (const char *relation : { "eq", "ne", "ge", "le" }) {
        const auto bounds = step.value(relation, nlohmann::json::object());
        for (const auto &[path, bound] : bounds.items()) {
            const nlohmann::json found = valueAt(value, path);
            if (!holds(relation, found, bound)) {
                failed.push_back(path + " is " + found.dump() + ", expected " + relation + " "
                                 + bound.dump());
            }
        }
    }
    return failed;
}

} // namespace harness
