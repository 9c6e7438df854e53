/// Formats ids for logs and dumps.
#pragma once

#include <flamingograde/strongid.h>

#include <array>
#include <cstdio>
#include <string>

namespace flamingograde {

/// Returns an id as 16 hexadecimal digits.
/// @remarks Thread safe.
template<typename Tag>
[[nodiscard]] auto hexOf(StrongId<Tag> id) -> std::string
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(id.value()));
    return text.data();
}

} // namespace flamingograde
