/// Rate of events over the last seconds.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/config.h>

#include <chrono>
#include <cmath>

namespace flamingograde {

/// Counts events with weights that fall to 1/e within `config::demandMemory`. A meter that has just
/// started does not report too low a rate.
/// @remarks Not thread safe. Does not allocate.
class DemandMeter
{
public:
    /// Counts an event. Precondition: none.
    auto add() -> void { this->count += 1; }

    /// Lets `passed` go by. Precondition: it is not negative.
    auto decay(Duration passed) -> void
    {
        constexpr std::chrono::duration<double> memory = config::demandMemory;
        const auto keep = std::exp(-(passed / memory));
        this->count *= keep;
        this->span = this->span * keep + memory.count() * (1 - keep);
    }

    /// Returns the decayed number of events. Precondition: none.
    [[nodiscard]] auto recent() const -> double { return this->count; }

    /// Returns the events per second; 0 before the first `decay`. Precondition: none.
    [[nodiscard]] auto perSecond() const -> double
    {
        return this->span > 0 ? this->count / this->span : 0;
    }

private:
    double count = 0;
    double span = 0; ///< Seconds that `count` stands for; `config::demandMemory` in the long run.
};

} // namespace flamingograde
