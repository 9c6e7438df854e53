/// Parsing of the platform's host list.
#pragma once

#include <flamingograde/member.h>

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace flamingograde {

/// Parses the JSON response that holds the platform's host list.
/// @returns the members, or the error in the document or in its first invalid entry.
/// @remarks Thread safe. Throws nothing.
[[nodiscard]] auto parseHostList(std::string_view text)
        -> tl::expected<std::vector<Member>, std::string>;

} // namespace flamingograde
