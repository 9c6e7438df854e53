/// A load of requests or uploads.
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

/// Sends requests at a rate, whether or not earlier ones are answered, and repeats what may be
/// repeated.
/// @remarks Not thread safe.
class RequestLoad
{
public:
    RequestLoad(asio::io_context &loop, LoadOptions options, std::uint64_t seed);

    /// Sends nothing new; what is under way goes on.
    auto stop() -> void;
    /// Calls `done` when all requests are sent and have their outcome.
    auto wait(std::function<void()> done) -> void;
    /// Returns the counters.
    [[nodiscard]] auto report() const -> Json;
    /// Returns the verdict of each request.
    [[nodiscard]] auto verdicts() const -> Json;

private:
    using Time = std::chrono::steady_clock::time_point;

    /// One request, with all its attempts.
    struct Call
    {
        std::size_t record = 0; ///< Index in `records`.
        CallRequest request;
        std::string bodyHash;
        std::size_t flow = 0;
        Time due;
        bool freshConnection = false;
        unsigned failures = 0;

        Call() = default;
    };
    using CallPtr = std::shared_ptr<Call>;

    auto scheduleNext() -> void;
    auto scheduleSweep() -> void;
    auto sendDue() -> void;
    auto sendNew() -> void;
    auto attempt(const CallPtr &call) -> void;
    auto takeResult(const CallPtr &call, const AttemptResult &result) -> void;
    auto takeAnswer(const CallPtr &call, const AttemptResult &result) -> void;
    auto takeRefusal(const CallPtr &call, const AttemptResult &result) -> void;
    auto takeFailure(const CallPtr &call, const AttemptResult &result) -> void;
    auto attemptAgain(const CallPtr &call, std::chrono::nanoseconds pause) -> void;
    auto finish() -> void;
    [[nodiscard]] auto makeCall() -> CallPtr;
    [[nodiscard]] auto makeBody(const std::string &start) const -> std::string;
    [[nodiscard]] auto mayRepeat(const Call &call) const -> bool;
    [[nodiscard]] auto isRepeatSafe(const Call &call) const -> bool;
    [[nodiscard]] auto backOff(Call &call) -> std::chrono::nanoseconds;
    [[nodiscard]] auto gap() -> std::chrono::nanoseconds;
    [[nodiscard]] auto isSendingOver() const -> bool;

    asio::io_context &loop;
    LoadOptions options;
    std::mt19937_64 random;
    UuidMaker uuids;
    ConnectionPool pool;
    asio::steady_timer timer;
    asio::steady_timer sweepTimer;
    Time nextDue;
    bool stopped = false;
    std::uint64_t pending = 0;
    std::string filler;              ///< The body's bytes after the request's own name.
    std::vector<std::string> tokens; ///< By flow.
    std::vector<CallRecord> records;
    std::vector<std::function<void()>> waiters;
    RequestCounts counts;
};

} // namespace standins
