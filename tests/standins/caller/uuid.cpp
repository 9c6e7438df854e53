#include "standins/caller/uuid.h"

#include "standins/common/wallclock.h"

#include <array>
#include <cstdio>

namespace standins {

auto UuidGenerator::next() -> std::string
{
    const auto time = static_cast<std::uint64_t>(wallMillis());
    const std::uint64_t high = this->random();
    const std::uint64_t low = this->random();
    std::array<char, 37> text {};
    std::snprintf(text.data(), text.size(), "%08x-%04x-7%03x-%04x-%012llx",
                  static_cast<unsigned>((time >> 16U) & 0xffffffffU),
                  static_cast<unsigned>(time & 0xffffU), static_cast<unsigned>(high & 0xfffU),
                  static_cast<unsigned>(0x8000U | ((high >> 12U) & 0x3fffU)),
                  static_cast<unsigned long long>(low & 0xffffffffffffULL));
    return text.data();
}

} // namespace standins
