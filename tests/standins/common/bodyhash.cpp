#include "standins/common/bodyhash.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace standins {

auto bodyHash(std::string_view body) -> std::string
{
    if (body.empty()) {
        return {};
    }
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(XXH3_64bits(body.data(), body.size())));
    return text.data();
}

} // namespace standins
