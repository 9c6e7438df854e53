/// Exponentially weighted mean and mean deviation of service times.
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
    const auto distance = value - this->meanSeconds;
    if (this->upperEstimate(now).has_value()) {
        this->deviationSeconds +=
                config::serviceTimeGain * (std::abs(distance) - this->deviationSeconds);
        this->meanSeconds += config::serviceTimeGain * distance;
    } else {
        this->deviationSeconds = 0;
        this->meanSeconds = value;
    }
    this->hasSample = true;
    this->lastSample = now;
}

auto ServiceTime::sampleMean(Duration time, MonoTime now) -> void
{
    if (!this->upperEstimate(now).has_value() || this->meanSeconds <= 0) {
        this->sample(time, now);
        return;
    }
    const auto value = std::chrono::duration<double>(time).count();
    const auto proportion = this->deviationSeconds / this->meanSeconds;
    this->meanSeconds += config::serviceTimeGain * (value - this->meanSeconds);
    this->deviationSeconds = proportion * this->meanSeconds;
    this->lastSample = now;
}

auto ServiceTime::upperEstimate(MonoTime now) const -> std::optional<Duration>
{
    if (!this->hasSample || now - this->lastSample > config::serviceTimeFresh) {
        return std::nullopt;
    }
    return durationOf(this->meanSeconds + config::serviceTimeDeviations * this->deviationSeconds);
}

auto ServiceTime::mean() const -> Duration
{
    if (!this->hasSample) {
        return config::defaultServiceTime;
    }
    return durationOf(this->meanSeconds);
}

} // namespace flamingograde
