/// Ids as operators read them.
#pragma once

#include <flamingograde/strongid.h>

#include <array>
#include <cstdio>
#include <string>

namespace flamingograde {

/// Returns the 16 hexadecimal digits of an id.
/// @remarks Thread safe.
template<typename Tag>
[[nodiscard]] auto hexOf(StrongId<Tag> id) -> std::string
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(id.value()));
    return text.data();
}

} // namespace flamingograde
