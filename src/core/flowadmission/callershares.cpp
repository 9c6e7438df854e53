/// Recently admitted flows by caller.
#include "core/flowadmission/callershares.h"

#include <flamingograde/config.h>

#include <chrono>
#include <cmath>

namespace flamingograde {

namespace {

/// A caller below this decayed count no longer takes part in the mean, and its place may be reused.
constexpr float forgottenBelow = 0.05F;

} // namespace

auto CallerShares::placeOf(std::uint32_t ip) -> std::size_t
{
    constexpr std::uint32_t multiplier = 0x9e3779b1; // Fibonacci hashing.
    constexpr auto shift = 23U;                      // Leaves 9 bits, for 512 places.
    static_assert(places == 1U << (32U - shift), "the shift leaves the bits of a place");
    return (ip * multiplier) >> shift;
}

auto CallerShares::roomPart(std::uint32_t ip) const -> double
{
    const auto &place = this->table[placeOf(ip)];
    const double admitted = place.ip == ip ? place.admitted : 0;
    const auto fair = this->meanAdmitted + std::sqrt(this->meanAdmitted);
    return admitted > fair ? fair / admitted : 1.0;
}

auto CallerShares::note(std::uint32_t ip, bool isAdmitted) -> void
{
    auto &place = this->table[placeOf(ip)];
    if (place.ip != ip) {
        if (place.admitted >= forgottenBelow) {
            return;
        }
        place = { ip, 0, 0 };
    }
    place.asked += 1;
    place.admitted += isAdmitted ? 1 : 0;
}

auto CallerShares::decay(Duration passed) -> void
{
    const auto ratio = std::chrono::duration<double>(passed) / config::callerShareMemory;
    const auto keep = static_cast<float>(std::exp(-ratio));
    double admitted = 0;
    std::size_t callers = 0;
    for (auto &place : this->table) {
        place.admitted *= keep;
        place.asked *= keep;
        admitted += place.admitted;
        callers += place.asked >= forgottenBelow ? 1 : 0;
    }
    this->meanAdmitted = callers == 0 ? 0 : admitted / static_cast<double>(callers);
}

} // namespace flamingograde
