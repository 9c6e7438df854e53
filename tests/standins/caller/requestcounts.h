/// The counters of a load of requests.
#pragma once

#include "standins/caller/percentiles.h"
#include "standins/common/asio.h"

#include <cstdint>
#include <map>
#include <string>

namespace standins {

/// What became of requests. A request is counted in one of `answered`, `refused`, `unanswered`,
/// `incompleteAnswers`, `crossed` and `misdelivered`.
struct RequestCounts
{
    using ByReason = std::map<std::string, std::map<std::string, std::uint64_t>>;

    std::uint64_t sent = 0;
    std::uint64_t attempts = 0;
    std::uint64_t answered = 0;
    ByReason refused;  ///< Final refusals by reason and verdict.
    ByReason refusals; ///< Refusals of all attempts.
    std::uint64_t refusedTotal = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t timeouts = 0;         ///< Attempts.
    std::uint64_t broken = 0;           ///< Attempts whose connection failed or was cut.
    std::uint64_t staleConnections = 0; ///< Attempts on a kept connection that had been closed.
    std::uint64_t incompleteAnswers = 0;
    std::uint64_t crossed = 0;
    std::uint64_t misdelivered = 0;
    std::map<std::string, std::uint64_t> byUpstream; ///< Answers.
    Percentiles latencyMs;                           ///< Of answers, from when the request was due.

    /// Returns the counters by their names in the control protocol.
    [[nodiscard]] auto toJson() const -> Json;
};

} // namespace standins
