#include "harness/uuid.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <random>

namespace harness {

auto makeUuid7(Millis age) -> std::string
{
    static std::mt19937_64 random(7);
    const auto wall = std::chrono::system_clock::now().time_since_epoch() - age;
    const auto birth = std::chrono::duration_cast<Millis>(wall).count();
    const auto time = static_cast<std::uint64_t>(birth);
    const std::uint64_t low = random();
    std::array<char, 37> text {};
    std::snprintf(text.data(), text.size(), "%08x-%04x-7%03x-8%03x-%012llx",
                  static_cast<unsigned>(time >> 16U), static_cast<unsigned>(time & 0xffffU),
                  static_cast<unsigned>(random() & 0xfffU), static_cast<unsigned>(low >> 52U),
                  static_cast<unsigned long long>(low & 0xffffffffffffULL));
    return text.data();
}

} // namespace harness
