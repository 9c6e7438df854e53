/// Renders settings templates in the same way as the platform.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace harness {

/// Returns `text` with values for its placeholders {{a}}, {{a.b}}, {{a.0}} and {{a|json}}, and with
/// its sections {{#a}} .. {{/a}} rendered. Throws `std::runtime_error` if a section has no end tag.
[[nodiscard]] auto fillTemplate(const std::string &text, const nlohmann::json &fields)
        -> std::string;

} // namespace harness
