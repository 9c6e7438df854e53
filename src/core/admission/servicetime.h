/// Estimate of the time that requests of one row take at their upstreams.
#pragma once

#include <flamingograde/clock.h>

#include <optional>

namespace flamingograde {

/// Exponentially weighted mean and mean deviation of service times. Without a sample for
/// `config::serviceTimeFresh` the estimate is stale: `upperEstimate` returns nothing, and the next
/// sample replaces the estimate.
/// @remarks Not thread safe.
class ServiceTime
{
public:
    /// Adds a sample. Precondition: `time` is not negative.
    auto sample(Duration time, MonoTime now) -> void;

    /// Adds a sample that was derived from a longer time, so that its deviation tells nothing: the
    /// deviation keeps its proportion to the mean. Precondition: as `sample`.
    auto sampleMean(Duration time, MonoTime now) -> void;

    /// Returns the time within which most requests are answered: the mean plus
    /// `config::serviceTimeDeviations` deviations. Nothing before the first sample, or if the last
    /// one is older than `config::serviceTimeFresh` and therefore no ground to refuse requests.
    /// Precondition: none.
    [[nodiscard]] auto upperEstimate(MonoTime now) const -> std::optional<Duration>;

    /// Returns the mean, also if stale, or `config::defaultServiceTime` before the first sample.
    /// Precondition: none.
    [[nodiscard]] auto mean() const -> Duration;

private:
    double meanSeconds = 0;      ///< Mean service time.
    double deviationSeconds = 0; ///< Mean absolute deviation from `meanSeconds`.
    bool hasSample = false;
    MonoTime lastSample; ///< When the last sample was added.
};

} // namespace flamingograde
