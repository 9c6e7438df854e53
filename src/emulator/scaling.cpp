/// Scales a day to a different number of hosts.
#include "emulator/scaling.h"

#include <algorithm>
#include <cmath>

namespace flamingograde::emulator {

namespace {

auto scaled(std::size_t count, double factor) -> std::size_t
{
    return static_cast<std::size_t>(std::max(1.0, std::round(static_cast<double>(count) * factor)));
}

} // namespace

auto scaledTo(const DayPlan &day, std::size_t hosts) -> DayPlan
{
    std::size_t now = 0;
    for (const auto &zone : day.zones) {
        now += zone.hosts;
    }
    const auto factor = static_cast<double>(hosts) / static_cast<double>(now);
    auto result = day;
    for (auto &zone : result.zones) {
        zone.hosts = scaled(zone.hosts, factor);
        zone.requestsPerSecond *= factor;
    }
    for (auto &service : result.services) {
        for (auto &[zone, count] : service.upstreams) {
            count = scaled(count, factor);
        }
    }
    return result;
}

} // namespace flamingograde::emulator
