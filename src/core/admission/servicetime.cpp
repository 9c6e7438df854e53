/// How long requests of one kind take at their upstreams.
#include "core/admission/servicetime.h"

#include <flamingograde/config.h>

#include <cmath>

namespace flamingograde {

namespace {

auto durationOf(double seconds) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

auto ServiceTime::sample(Duration time, MonoTime now) -> void
{
    const auto value = std::chrono::duration<double>(time).count();
    const auto distance = value - this->seconds;
    if (this->likely(now).has_value()) {
        this->deviation += config::serviceTimeGain * (std::abs(distance) - this->deviation);
        this->seconds += config::serviceTimeGain * distance;
    } else {
        this->deviation = 0;
        this->seconds = value;
    }
    this->measured = true;
    this->last = now;
}

auto ServiceTime::likely(MonoTime now) const -> std::optional<Duration>
{
    if (!this->measured || now - this->last > config::serviceTimeFresh) {
        return std::nullopt;
    }
    return durationOf(this->seconds + config::serviceTimeDeviations * this->deviation);
}

auto ServiceTime::cost() const -> Duration
{
    if (!this->measured) {
        return config::serviceTimeGuess;
    }
    return durationOf(this->seconds);
}

} // namespace flamingograde
