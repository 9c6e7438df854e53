/// Names and HTTP statuses of refusal reasons.
#include <flamingograde/refusal.h>

#include <flamingograde/stats.h>

#include <array>

namespace flamingograde {

namespace {

struct ReasonText
{
    std::string_view word;
    int status;
};

/// Indexed by `RefusalReason`.
constexpr std::array<ReasonText, Stats::reasons> reasonTexts { {
        { "unknown-service", 404 },
        { "bad-token", 403 },
        { "stale-token", 410 },
        { "bad-key", 400 },
        { "too-large", 413 },
        { "queue-full", 503 },
        { "deadline-unmet", 504 },
        { "no-upstream", 503 },
        { "no-home", 503 },
        { "wrong-home", 421 },
        { "old-table", 421 },
        { "key-unknown", 409 },
        { "key-running", 409 },
        { "lost", 502 },
        { "stopping", 503 },
        { "overloaded", 503 },
        { "not-ready", 503 },
} };

static_assert(static_cast<std::size_t>(RefusalReason::NotReady) + 1 == reasonTexts.size());

auto textOf(RefusalReason reason) -> const ReasonText &
{
    return reasonTexts.at(static_cast<std::size_t>(reason));
}

} // namespace

auto toString(RefusalReason reason) -> std::string_view
{
    return textOf(reason).word;
}

auto httpStatus(RefusalReason reason) -> int
{
    return textOf(reason).status;
}

auto refusalReasonOf(std::string_view word) -> RefusalReason
{
    for (std::size_t i = 0; i < reasonTexts.size(); ++i) {
        if (reasonTexts[i].word == word) {
            return static_cast<RefusalReason>(i);
        }
    }
    return RefusalReason::NoHome;
}

} // namespace flamingograde
