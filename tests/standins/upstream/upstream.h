/// A back end: runs requests in slots and holds feeds.
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

/// One upstream of the process.
/// @remarks Not thread safe. `ledger` outlives it.
class Upstream
{
public:
    Upstream(asio::io_context &loop, const UpstreamOptions &options, Ledger &ledger);

    /// Changes faults, service time and service by the fields of the command `set`.
    auto set(const Json &json) -> void;
    /// Ends every feed in order.
    auto endFeeds() -> void { this->feeds.endAll(); }
    [[nodiscard]] auto totals() const -> Totals;
    [[nodiscard]] auto address() const -> std::string { return this->server.address(); }
    [[nodiscard]] auto name() const -> const std::string & { return this->options.name; }

private:
    using JobPtr = std::shared_ptr<Job>;
    using Connection = HttpConnection::Ptr;

    auto handle(const Connection &connection, HttpRequest request) -> void;
    auto answerHealth(const Connection &connection) -> void;
    auto openFeed(const Connection &connection, const HttpRequest &request) -> void;
    auto takeJob(const Connection &connection, HttpRequest request) -> void;
    auto begin(const JobPtr &job) -> void;
    auto beginNext() -> void;
    auto finish(const JobPtr &job) -> void;
    auto cancel(const JobPtr &job) -> void;
    auto refuse(const Connection &connection, unsigned status, const std::string &reason) -> void;
    auto shed(const Connection &connection, const std::string &reason) -> void;
    auto sendAnswer(const Connection &connection, const HttpAnswer &answer) -> void;
    auto cutAnswer(const Connection &connection, const HttpAnswer &answer) -> void;
    auto hold(bool answersOnly, std::function<void()> action) -> void;
    auto releaseHeld() -> void;
    [[nodiscard]] auto answerTo(const Job &job) const -> HttpAnswer;
    [[nodiscard]] auto serviceTime() -> std::chrono::nanoseconds;
    [[nodiscard]] auto coldness() const -> double;
    [[nodiscard]] auto load() const -> double;

    asio::io_context &loop;
    UpstreamOptions options;
    Ledger &ledger;
    Faults faults;
    Totals counters;
    std::mt19937_64 random;
    std::chrono::steady_clock::time_point started;
    std::size_t running = 0;
    std::deque<JobPtr> waiting;
    std::vector<std::function<void()>> heldAnswers; ///< While answers are frozen.
    std::vector<std::function<void()>> heldAll;     ///< While silent.
    FeedSource feeds;
    HttpServer server;
};

} // namespace standins
