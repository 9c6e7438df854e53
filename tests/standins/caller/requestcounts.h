/// The counters of a load generator for requests or uploads.
#pragma once

#include "standins/caller/percentiles.h"
#include "standins/common/asio.h"

#include <cstdint>
#include <map>
#include <string>

namespace standins {

/// Counts the outcomes of requests. Each completed request is counted in exactly one of `answered`,
/// `refused`, `unanswered`, `incompleteAnswers`, `crossed` and `misdelivered`.
struct RequestCounts
{
    using CountsByReasonAndVerdict = std::map<std::string, std::map<std::string, std::uint64_t>>;

    std::uint64_t sent = 0;
    std::uint64_t attempts = 0;
    std::uint64_t answered = 0; ///< Requests with a complete, matching answer.
    /// Requests whose last attempt was refused, by reason and verdict.
    CountsByReasonAndVerdict refused;
    CountsByReasonAndVerdict refusals; ///< Refused attempts by reason and verdict.
    std::uint64_t refusedTotal = 0;
    std::uint64_t unanswered = 0; ///< Requests whose last attempt got no answer.
    std::uint64_t timeouts = 0;   ///< Attempts that timed out.
    std::uint64_t broken = 0;     ///< Attempts whose connection failed or was closed early.
    /// Attempts on a reused connection that the peer had closed.
    std::uint64_t staleConnections = 0;
    std::uint64_t incompleteAnswers = 0; ///< Answers of wrong length or wrong body hash.
    std::uint64_t crossed = 0;           ///< Answers that belong to another request.
    std::uint64_t misdelivered = 0;      ///< Answers from another service.
    std::map<std::string, std::uint64_t> byUpstream; ///< Answered requests by upstream.
    Percentiles latencyMs; ///< From the scheduled time of a request to its answer.

    /// Returns the counters under their control protocol names.
    [[nodiscard]] auto toJson() const -> Json;
};

} // namespace standins
