/// The hash by which caller and upstream check that a body arrived unchanged.
#pragma once

#include <string>
#include <string_view>

namespace standins {

/// Returns the XXH3 hash of `body` as 16 hexadecimal digits; empty for an empty body.
[[nodiscard]] auto bodyHash(std::string_view body) -> std::string;

} // namespace standins
