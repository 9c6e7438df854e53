/// The platform's host list.
#pragma once

#include <flamingograde/member.h>

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace flamingograde {

/// Reads the JSON answer of the platform's host list.
/// @returns the members, or what is wrong with the first faulty entry.
/// @remarks Thread safe. Throws nothing.
[[nodiscard]] auto parseHostList(std::string_view text)
        -> tl::expected<std::vector<Member>, std::string>;

} // namespace flamingograde
