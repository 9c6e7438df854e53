/// Queue limits by target time and urgency.
#include "core/flowadmission/queuelimit.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace flamingograde {

auto queueLimit(const QueueTimes &times, Duration goal) -> double
{
    if (!times.slotTime || *times.slotTime <= Duration(0)) {
        return config::unmeasuredPerSlot;
    }
    using Seconds = std::chrono::duration<double>;
    const auto left = Seconds(goal - 2 * times.handshake).count();
    const auto mean = Seconds(*times.slotTime).count();
    const auto spread = Seconds(times.spread).count();
    // The root r of the limit solves: mean * r * r + spread * r = left.
    const auto root =
            (std::sqrt(spread * spread + 4 * mean * std::max(left, 0.0)) - spread) / (2 * mean);
    return std::max(root * root, config::roomPerSlot);
}

auto limitOfLevel(double limit, unsigned rank, unsigned levels) -> double
{
    const auto part = static_cast<double>(rank + 1) / static_cast<double>(std::max(levels, 1U));
    return config::roomPerSlot + (limit - config::roomPerSlot) * part;
}

} // namespace flamingograde
