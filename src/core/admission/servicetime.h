/// How long requests of one kind take at their upstreams.
#pragma once

#include <flamingograde/clock.h>

#include <optional>

namespace flamingograde {

/// Exponentially weighted mean and deviation of measured times, forgotten when nothing confirms it.
/// @remarks Not thread safe.
class ServiceTime
{
public:
    /// Takes a measured time. Precondition: `time` is not negative.
    auto sample(Duration time, MonoTime now) -> void;

    /// Returns the time within which most requests are answered: the mean and some deviation.
    /// Nothing before the first sample, or where the last one is too old to refuse anything by it.
    /// Precondition: none.
    [[nodiscard]] auto likely(MonoTime now) const -> std::optional<Duration>;

    /// Returns the mean whatever its age, or `config::serviceTimeGuess`. Precondition: none.
    [[nodiscard]] auto cost() const -> Duration;

private:
    double seconds = 0;   ///< The mean.
    double deviation = 0; ///< The mean distance from it.
    bool measured = false;
    MonoTime last;
};

} // namespace flamingograde
