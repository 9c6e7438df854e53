/// A load generator that opens feeds and keeps them open.
#pragma once

#include "standins/caller/feedcounts.h"
#include "standins/caller/feedflow.h"
#include "standins/caller/loadoptions.h"
#include "standins/common/asio.h"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace standins {

/// Opens feeds at a given rate and keeps them open.
/// @remarks Not thread safe.
class FeedLoad
{
public:
    FeedLoad(asio::io_context &loop, LoadOptions options);

    /// Closes all feeds permanently.
    auto stop() -> void;
    /// Calls `done` once all feeds are open, or when the load is stopped.
    auto wait(std::function<void()> done) -> void;
    /// Returns the counters under their control protocol names.
    [[nodiscard]] auto report() const -> Json { return this->counts.toJson(); }
    /// Returns an empty list: feeds have no verdicts.
    [[nodiscard]] static auto verdicts() -> Json { return Json::array(); }

private:
    auto scheduleNextOpening() -> void;
    auto scheduleSilenceCheck() -> void;
    auto openDueFeeds() -> void;
    auto notifyIfDone() -> void;

    asio::io_context &loop;
    LoadOptions options;
    FeedCounts counts;
    asio::steady_timer timer;
    asio::steady_timer silenceTimer;
    std::chrono::steady_clock::time_point nextDue;
    bool stopped = false;
    std::vector<std::shared_ptr<FeedFlow>> flows;
    std::vector<std::function<void()>> waiters;
};

} // namespace standins
