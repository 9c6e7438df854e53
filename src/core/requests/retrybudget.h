/// How many retries are still allowed.
#pragma once

#include <flamingograde/config.h>

namespace flamingograde {

/// A share of the successes may be spent on retries, so that retries cannot multiply an overload.
/// @remarks Not thread safe.
class RetryBudget
{
public:
    /// Counts a success.
    auto earn() -> void;
    /// Takes one retry. @returns false where none is left.
    [[nodiscard]] auto spend() -> bool;
    /// Returns the retries left.
    [[nodiscard]] auto left() const -> double;

private:
    double tokens = config::retryBudgetBurst;
};

} // namespace flamingograde
