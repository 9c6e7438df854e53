/// Fills in a settings template as the platform does.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace harness {

/// Returns `text` with its placeholders filled in: {{a}}, {{a.b}}, {{a.0}}, {{a|json}} and the
/// sections {{#a}} .. {{/a}}. Throws `std::runtime_error` for a section without an end.
[[nodiscard]] auto fillTemplate(const std::string &text, const nlohmann::json &fields)
        -> std::string;

} // namespace harness
