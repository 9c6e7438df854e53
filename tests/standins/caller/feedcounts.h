/// The counters of a load generator for feeds.
#pragma once

#include "standins/caller/percentiles.h"
#include "standins/common/asio.h"

#include <cstdint>
#include <map>
#include <string>

namespace standins {

/// Counts the outcomes of feeds and their events. A flow is one feed across all its connections.
struct FeedCounts
{
    std::uint64_t opened = 0;       ///< Flows that have been opened at least once.
    std::uint64_t open = 0;         ///< Flows that are currently open.
    std::uint64_t openings = 0;     ///< Successful openings, including reopenings.
    std::uint64_t openFailures = 0; ///< Attempts to open that got no answer.
    std::map<std::string, std::map<std::string, std::uint64_t>> refused; ///< By reason and verdict.
    std::uint64_t events = 0;
    std::uint64_t lostEvents = 0;     ///< Events missing from the numbering of one upstream.
    std::uint64_t repeatedEvents = 0; ///< Events of one upstream received more than once.
    std::uint64_t cutEvents = 0;      ///< Feeds that ended properly, but within an event.
    std::uint64_t brokenFlows = 0;    ///< Open feeds whose connection failed.
    std::uint64_t moved = 0;          ///< Open feeds that ended properly and were reopened.
    std::uint64_t silent = 0;         ///< Open feeds closed because no byte arrived for too long.
    std::uint64_t restarted = 0;      ///< Flows restarted without their token after it was refused.
    std::uint64_t upstreamChanges = 0; ///< Changes of the upstream that sends a flow's events.
    std::uint64_t misdelivered = 0;    ///< Events of another service, or not readable.
    /// Open flows by the upstream of their last event.
    std::map<std::string, std::int64_t> byUpstream;
    Percentiles gapMs; ///< Time from the end of a feed to its reopening.

    /// Returns the counters under their control protocol names.
    [[nodiscard]] auto toJson() const -> Json;
};

} // namespace standins
