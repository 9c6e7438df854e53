/// How many lines may be logged.
#pragma once

#include <flamingograde/clock.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace flamingograde::net {

/// A token bucket: a burst of lines, then so many a second.
/// @remarks Not thread safe.
class LineAllowance
{
public:
    /// @param perSecond lines a second in the long run.
    /// @param burst lines at once after a quiet time.
    LineAllowance(double perSecond, double burst) : rate(perSecond), most(burst), left(burst) {}

    /// Returns whether a line may be logged at `now`, and counts it. Precondition: `now` never
    /// falls.
    [[nodiscard]] auto take(MonoTime now) -> bool
    {
        const std::chrono::duration<double> passed = now - std::exchange(this->last, now);
        this->left = std::min(this->most, this->left + passed.count() * this->rate);
        if (this->left < 1) {
            ++this->refused;
            return false;
        }
        this->left -= 1;
        return true;
    }

    /// Returns the lines refused since the last call. Precondition: none.
    [[nodiscard]] auto takeRefused() -> std::uint64_t { return std::exchange(this->refused, 0); }

private:
    double rate;
    double most;
    double left;
    MonoTime last;
    std::uint64_t refused = 0;
};

} // namespace flamingograde::net
