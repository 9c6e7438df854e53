/// Rate limit for log lines.
#pragma once

#include <flamingograde/clock.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace flamingograde::net {

/// A token bucket that allows a burst of lines, then a fixed number per second.
/// @remarks Not thread safe.
class LogRateLimiter
{
public:
    /// @param perSecond sustained rate in lines per second.
    /// @param burst most lines allowed at once after an idle period.
    LogRateLimiter(double perSecond, double burst) : rate(perSecond), burstMax(burst), tokens(burst)
    {}

    /// Returns whether a line may be logged at `now`, and consumes a token or counts the refusal.
    /// Precondition: `now` never decreases.
    [[nodiscard]] auto take(MonoTime now) -> bool
    {
        const std::chrono::duration<double> passed = now - std::exchange(this->last, now);
        this->tokens = std::min(this->burstMax, this->tokens + passed.count() * this->rate);
        if (this->tokens < 1) {
            ++this->refused;
            return false;
        }
        this->tokens -= 1;
        return true;
    }

    /// Returns the number of lines refused since the last call. Precondition: none.
    [[nodiscard]] auto takeRefused() -> std::uint64_t { return std::exchange(this->refused, 0); }

private:
    double rate;
    double burstMax;
    double tokens;
    MonoTime last;
    std::uint64_t refused = 0;
};

} // namespace flamingograde::net
