/// Token bucket that limits requests to one cold upstream.
#pragma once

#include <flamingograde/clock.h>

#include <algorithm>

namespace flamingograde {

/// Limits the requests that this host sends to a cold upstream. The bucket holds one token and
/// starts empty, as a new owner does not know how many requests the previous owner has just sent.
/// @remarks Not thread safe.
class ColdAllowance
{
public:
    /// Adds tokens for the time since the last call at the rate set there, and sets the rate, in
    /// requests a second, for the time until the next call. Precondition: `now` does not go back.
    auto refill(double perSecond, MonoTime now) -> void
    {
        if (this->rate > 0) {
            const std::chrono::duration<double> passed = now - this->filledAt;
            this->tokens = std::min(capacity, this->tokens + passed.count() * this->rate);
        }
        this->rate = perSecond;
        this->filledAt = now;
    }

    /// Returns whether a new flow may be opened. Precondition: none.
    [[nodiscard]] auto hasToken() const -> bool { return this->tokens >= 1; }

    /// Takes a token for a request. Requests on open flows are sent without a token too, so the
    /// count may become negative, by one second of the rate at most. Precondition: none.
    auto consume() -> void { this->tokens = std::max(this->tokens - 1, -this->rate); }

    /// Returns whether this host has a share of the limit. Precondition: none.
    [[nodiscard]] auto hasRate() const -> bool { return this->rate > 0; }

private:
    static constexpr double capacity = 1;

    double tokens = 0;
    double rate = 0; ///< Requests a second; 0: this host has no share of the limit.
    MonoTime filledAt;
};

} // namespace flamingograde
