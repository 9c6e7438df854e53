/// A load generator that sends requests or uploads.
#pragma once

#include "standins/caller/answercheck.h"
#include "standins/caller/callanswer.h"
#include "standins/caller/callrecord.h"
#include "standins/caller/callrequest.h"
#include "standins/caller/connectionpool.h"
#include "standins/caller/loadoptions.h"
#include "standins/caller/requestcounts.h"
#include "standins/caller/uuid.h"
#include "standins/common/asio.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace standins {

/// Sends requests at a given rate, independently of the answers to earlier ones (open loop), and
/// retries requests for which that is safe.
/// @remarks Not thread safe.
class RequestLoad
{
public:
    RequestLoad(asio::io_context &loop, LoadOptions options, std::uint64_t seed);

    /// Sends no new requests; requests in progress continue, including their retries.
    auto stop() -> void;
    /// Calls `done` once all requests have been sent, or the load is stopped, and every request
    /// sent has its outcome.
    auto wait(std::function<void()> done) -> void;
    /// Returns the counters, the number of pending requests, and the requests by overall verdict.
    [[nodiscard]] auto report() const -> Json;
    /// Returns the verdicts of each request.
    [[nodiscard]] auto verdicts() const -> Json;

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// One request and the state of its attempts.
    struct Call
    {
        std::size_t recordIndex = 0; ///< Index in `records`.
        CallRequest request;
        std::string bodyHash;
        std::size_t flow = 0;
        TimePoint due;                   ///< Scheduled send time, from which the latency counts.
        bool needsNewConnection = false; ///< Whether a new connection must be used.
        unsigned failures = 0;           ///< Number of retries with exponential back-off.

        Call() = default;
    };
    using CallPtr = std::shared_ptr<Call>;

    auto scheduleNextRequest() -> void;
    auto schedulePoolCleanup() -> void;
    auto sendDueRequests() -> void;
    auto sendNewRequest() -> void;
    auto sendAttempt(const CallPtr &call) -> void;
    auto handleResult(const CallPtr &call, const AttemptResult &result) -> void;
    auto handleAnswer(const CallPtr &call, const AttemptResult &result) -> void;
    auto handleRefusal(const CallPtr &call, const AttemptResult &result) -> void;
    auto handleFailure(const CallPtr &call, const AttemptResult &result) -> void;
    auto scheduleRetry(const CallPtr &call, std::chrono::nanoseconds pause) -> void;
    auto notifyIfDone() -> void;
    [[nodiscard]] auto makeCall() -> CallPtr;
    [[nodiscard]] auto makeBody(const std::string &start) const -> std::string;
    [[nodiscard]] auto mayRetry(const Call &call) const -> bool;
    [[nodiscard]] auto isSafeToRepeat(const Call &call) const -> bool;
    [[nodiscard]] auto nextBackOff(Call &call) -> std::chrono::nanoseconds;
    [[nodiscard]] auto nextInterval() -> std::chrono::nanoseconds;
    [[nodiscard]] auto isSendingDone() const -> bool;

    asio::io_context &loop;
    LoadOptions options;
    std::mt19937_64 random;
    UuidGenerator uuids;
    ConnectionPool pool;
    asio::steady_timer timer;
    asio::steady_timer poolCleanupTimer;
    TimePoint nextDue;
    bool stopped = false;
    std::uint64_t pending = 0;
    std::string filler; ///< Body template; its start is overwritten with the request's UUID.
    std::vector<std::string> tokens; ///< Current flow token of each flow.
    std::vector<CallRecord> records;
    std::vector<std::function<void()>> waiters;
    RequestCounts counts;
};

} // namespace standins
