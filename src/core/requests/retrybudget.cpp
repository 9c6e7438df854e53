/// Token bucket of retries: a success adds a fraction of a token, a retry takes one.
#include "core/requests/retrybudget.h"

#include <algorithm>

namespace flamingograde {

auto RetryBudget::recordSuccess() -> void
{
    this->tokens = std::min(this->tokens + config::retryBudgetShare, config::retryBudgetBurst);
}

auto RetryBudget::spend() -> bool
{
    if (this->tokens < 1) {
        return false;
    }
    this->tokens -= 1;
    return true;
}

auto RetryBudget::left() const -> double
{
    return this->tokens;
}

} // namespace flamingograde
