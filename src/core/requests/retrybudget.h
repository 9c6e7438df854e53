/// Budget that limits retries to a share of the successful requests.
#pragma once

#include <flamingograde/config.h>

namespace flamingograde {

/// Token bucket that allows retries for a share of the successful requests, so that retries cannot
/// amplify an overload.
/// @remarks Not thread safe.
class RetryBudget
{
public:
    /// Adds the retry share of one successful request, up to the burst limit.
    auto recordSuccess() -> void;
    /// Takes one retry. @returns false if less than one is left.
    [[nodiscard]] auto spend() -> bool;
    /// Returns the number of retries left, with fractions.
    [[nodiscard]] auto left() const -> double;

private:
    double tokens = config::retryBudgetBurst;
};

} // namespace flamingograde
