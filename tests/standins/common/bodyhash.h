/// The hash by which a body is compared at both ends.
#pragma once

#include <string>
#include <string_view>

namespace standins {

/// Returns the XXH3 hash of `body` as 16 hexadecimal digits; empty for an empty body.
[[nodiscard]] auto bodyHash(std::string_view body) -> std::string;

} // namespace standins
