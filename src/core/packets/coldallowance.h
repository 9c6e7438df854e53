/// Token bucket that limits requests to one cold upstream.
#pragma once

#include <flamingograde/clock.h>

#include <algorithm>

namespace flamingograde {

/// Limits the requests that this host sends to a cold upstream. The bucket holds one token and
/// starts empty, because a host that becomes the owner of the upstream does not know how many
/// requests the previous owner has just sent.
/// @remarks Not thread safe.
class ColdAllowance
{
public:
    /// Adds the tokens earned since the last call, at the rate set by that call, and sets the rate
    /// in requests per second until the next call. Precondition: `now` does not go back.
    auto refill(double perSecond, MonoTime now) -> void
    {
        if (this->rate > 0) {
            const std::chrono::duration<double> passed = now - this->filledAt;
            this->tokens = std::min(capacity, this->tokens + passed.count() * this->rate);
        }
        this->rate = perSecond;
        this->filledAt = now;
    }

    /// Returns whether a token is left, so that a new flow may be opened. Precondition: none.
    [[nodiscard]] auto hasToken() const -> bool { return this->tokens >= 1; }

    /// Takes a token for a request. Requests on open flows are forwarded even without a token, so
    /// the count may become negative, by at most the tokens of one second. Precondition: none.
    auto consume() -> void { this->tokens = std::max(this->tokens - 1, -this->rate); }

    /// Returns whether this host may send any part of the upstream's limit. Precondition: none.
    [[nodiscard]] auto hasRate() const -> bool { return this->rate > 0; }

private:
    static constexpr double capacity = 1;

    double tokens = 0;
    double rate = 0;   ///< Requests per second; 0: this host has no share of the limit.
    MonoTime filledAt; ///< Time of the last call of `refill`.
};

} // namespace flamingograde
