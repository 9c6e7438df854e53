/// A simulated back end that runs requests in a limited number of slots and serves feeds.
#pragma once

#include "standins/common/httpserver.h"
#include "standins/upstream/faults.h"
#include "standins/upstream/feedsource.h"
#include "standins/upstream/job.h"
#include "standins/upstream/totals.h"
#include "standins/upstream/upstreamoptions.h"

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace standins {

class Ledger;

/// One of the upstreams of the process.
/// @remarks Not thread safe. `ledger` must outlive it.
class Upstream
{
public:
    Upstream(asio::io_context &loop, const UpstreamOptions &options, Ledger &ledger);

    /// Changes faults, service time and service as given by the fields of the command `set`. A
    /// change of the service ends every feed.
    auto set(const Json &json) -> void;
    /// Ends every feed with the last chunk. A feed with a write in progress is closed without it.
    auto endFeeds() -> void { this->feeds.endAll(); }
    [[nodiscard]] auto totals() const -> Totals;
    [[nodiscard]] auto address() const -> std::string { return this->server.address(); }
    [[nodiscard]] auto name() const -> const std::string & { return this->options.name; }

private:
    using JobPtr = std::shared_ptr<Job>;
    using Connection = HttpConnection::Ptr;

    auto handleRequest(const Connection &connection, HttpRequest request) -> void;
    auto answerHealth(const Connection &connection) -> void;
    auto openFeed(const Connection &connection, const HttpRequest &request) -> void;
    auto acceptJob(const Connection &connection, HttpRequest request) -> void;
    auto startJob(const JobPtr &job) -> void;
    auto startQueuedJobs() -> void;
    auto finishJob(const JobPtr &job) -> void;
    auto cancelJob(const JobPtr &job) -> void;
    auto sendRefusal(const Connection &connection, unsigned status, const std::string &reason)
            -> void;
    auto sendOverload(const Connection &connection, const std::string &reason) -> void;
    auto sendAnswer(const Connection &connection, const HttpAnswer &answer) -> void;
    auto sendCutAnswer(const Connection &connection, const HttpAnswer &answer) -> void;
    auto runOrHold(bool isJobAnswer, std::function<void()> action) -> void;
    auto runHeldActions() -> void;
    [[nodiscard]] auto makeAnswer(const Job &job) const -> HttpAnswer;
    [[nodiscard]] auto serviceTime() -> std::chrono::nanoseconds;
    [[nodiscard]] auto coldFraction() const -> double;
    [[nodiscard]] auto load() const -> double;

    asio::io_context &loop;
    UpstreamOptions options;
    Ledger &ledger;
    Faults faults;
    Totals counters;
    std::mt19937_64 random;
    std::chrono::steady_clock::time_point startTime;
    std::size_t running = 0;
    std::deque<JobPtr> queuedJobs;
    std::vector<std::function<void()>> heldAnswers; ///< Deferred by the fault `freeze_answers`.
    std::vector<std::function<void()>> heldActions; ///< Deferred by the fault `silent`.
    FeedSource feeds;
    HttpServer server;
};

} // namespace standins
