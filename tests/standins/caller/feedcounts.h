/// The counters of a load of feeds.
#pragma once

#include "standins/caller/percentiles.h"
#include "standins/common/asio.h"

#include <cstdint>
#include <map>
#include <string>

namespace standins {

/// What became of feeds.
struct FeedCounts
{
    std::uint64_t opened = 0; ///< Flows that were opened at least once.
    std::uint64_t open = 0;   ///< Flows that are open now.
    std::uint64_t openings = 0;
    std::uint64_t openFailures = 0; ///< Openings that got no answer.
    std::map<std::string, std::map<std::string, std::uint64_t>> refused; ///< By reason, verdict.
    std::uint64_t events = 0;
    std::uint64_t lostEvents = 0;
    std::uint64_t repeatedEvents = 0;
    std::uint64_t cutEvents = 0;   ///< Orderly ends within an event.
    std::uint64_t brokenFlows = 0; ///< Breaks of open feeds.
    std::uint64_t moved = 0;       ///< Orderly ends of open feeds.
    std::uint64_t silent = 0;      ///< Open feeds given up after too long a silence.
    std::uint64_t restarted = 0;   ///< Flows that had to start anew without their token.
    std::uint64_t upstreamChanges = 0;
    std::uint64_t misdelivered = 0;
    std::map<std::string, std::int64_t> byUpstream; ///< Open flows by the upstream of their events.
    Percentiles gapMs;                              ///< From the end of a feed to its next opening.

    /// Returns the counters by their names in the control protocol.
    [[nodiscard]] auto toJson() const -> Json;
};

} // namespace standins
