/// How long requests of one kind take at their upstreams.
#include "core/servicetime.h"

#include <flamingograde/config.h>

namespace flamingograde {

auto ServiceTime::sample(Duration time, MonoTime now) -> void
{
    const auto value = std::chrono::duration<double>(time).count();
    const auto fresh = this->mean(now).has_value();
    this->seconds =
            fresh ? this->seconds + config::serviceTimeGain * (value - this->seconds) : value;
    this->measured = true;
    this->last = now;
}

auto ServiceTime::mean(MonoTime now) const -> std::optional<Duration>
{
    if (!this->measured || now - this->last > config::serviceTimeFresh) {
        return std::nullopt;
    }
    return this->cost();
}

auto ServiceTime::cost() const -> Duration
{
    if (!this->measured) {
        return config::serviceTimeGuess;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(this->seconds));
}

} // namespace flamingograde
