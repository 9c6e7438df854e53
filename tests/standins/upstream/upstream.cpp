#include "standins/upstream/upstream.h"

#include "standins/common/bodyhash.h"
#include "standins/common/wallclock.h"
#include "standins/upstream/ledger.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace standins {

namespace http = boost::beast::http;

namespace {

constexpr double coldFactor = 4; ///< Service time of a cold upstream relative to a warm one.
constexpr std::size_t maxLengthFieldBytes = 24; ///< Upper bound of the size of the field `length`.

auto headerOf(const HttpRequest &request, const char *name) -> std::string
{
    return std::string(request[name]);
}

auto parseNumber(const std::string &text) -> std::optional<std::int64_t>
{
    if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return std::stoll(text);
}

auto isExpired(const HttpRequest &request) -> bool
{
    const auto deadline = parseNumber(headerOf(request, "Flamingograde-Deadline"));
    return deadline && wallMillis() > *deadline;
}

auto isFeed(const HttpRequest &request) -> bool
{
    return request[http::field::accept].find("text/event-stream")
           != boost::beast::string_view::npos;
}

} // namespace

Upstream::Upstream(asio::io_context &loop, const UpstreamOptions &options, Ledger &ledger)
    : loop(loop), options(options), ledger(ledger), random(options.seed),
      startTime(std::chrono::steady_clock::now()),
      feeds(loop, options.name, options.service, options.eventMs),
      server(loop, options.listen, [this](const Connection &connection, HttpRequest request) {
          this->handleRequest(connection, std::move(request));
      })
{}

auto Upstream::set(const Json &json) -> void
{
    this->faults.update(json);
    this->options.serviceMs = json.value("service_ms", this->options.serviceMs);
    const std::string service = json.value("service", this->options.service);
    if (service != this->options.service) {
        this->options.service = service;
        this->feeds.setService(service);
        this->feeds.endAll();
    }
    this->feeds.setSilent(this->faults.silent);
    this->runHeldActions();
}

auto Upstream::totals() const -> Totals
{
    Totals totals = this->counters;
    totals.feedsOpen = this->feeds.size();
    return totals;
}

auto Upstream::handleRequest(const Connection &connection, HttpRequest request) -> void
{
    if (request.target() == "/healthz") {
        this->answerHealth(connection);
        return;
    }
    if (request[http::field::host] != this->options.service) {
        ++this->counters.misdirected;
        this->sendRefusal(connection, 421, "misdirected");
        return;
    }
    if (isFeed(request)) {
        this->openFeed(connection, request);
        return;
    }
    this->acceptJob(connection, std::move(request));
}

auto Upstream::answerHealth(const Connection &connection) -> void
{
    ++this->counters.healthReads;
    const bool fakesHealth = this->faults.health == HealthMode::Lie;
    const bool cold = this->faults.health == HealthMode::Cold || this->coldFraction() > 0;
    const bool draining = this->faults.health == HealthMode::Draining;
    const std::string status = fakesHealth ? "ok" : draining ? "draining" : cold ? "cold" : "ok";
    const double load = fakesHealth ? 0 : this->load();
    HttpAnswer answer;
    answer.status = status == "ok" ? 200 : 503;
    answer.headers = { { "Content-Type", "application/json" } };
    answer.body = Json({ { "status", status }, { "load", load } }).dump();
    this->runOrHold(false, [connection, answer] { connection->answer(answer); });
}

auto Upstream::openFeed(const Connection &connection, const HttpRequest &request) -> void
{
    if (this->feeds.size() >= this->options.connections) {
        ++this->counters.overConnections;
        this->sendOverload(connection, "connections");
        return;
    }
    ++this->counters.feedsOpened;
    const auto lastId = parseNumber(headerOf(request, "Last-Event-ID"));
    this->runOrHold(false, [this, connection, lastId] { this->feeds.open(connection, lastId); });
}

auto Upstream::acceptJob(const Connection &connection, HttpRequest request) -> void
{
    const bool noSlotFree = this->running >= this->options.slots;
    this->counters.overSlots += noSlotFree ? 1 : 0;
    if (this->faults.shed || (noSlotFree && this->queuedJobs.size() >= this->options.queue)) {
        ++this->counters.shed;
        this->sendOverload(connection, "shed");
        return;
    }
    auto job = std::make_shared<Job>(this->loop, connection, std::move(request));
    connection->onClosed([this, job] { this->cancelJob(job); });
    if (noSlotFree) {
        this->queuedJobs.push_back(job);
        return;
    }
    this->startJob(job);
}

auto Upstream::startJob(const JobPtr &job) -> void
{
    const HttpRequest &request = job->request;
    if (isExpired(request)) {
        ++this->counters.expired;
        this->sendRefusal(job->connection, 504, "expired");
        return;
    }
    job->running = true;
    job->service = this->options.service;
    ++this->running;
    ++this->counters.runs;
    this->counters.runningMax = std::max<std::uint64_t>(this->counters.runningMax, this->running);
    this->counters.uploads += request.body().empty() ? 0 : 1;
    this->counters.bodyBytes += request.body().size();
    job->runNumber =
            this->ledger.record(headerOf(request, "Idempotency-Key"), std::string(request.target()),
                                headerOf(request, "Flamingograde-Row"), this->options.service);
    job->timer.expires_after(this->serviceTime());
    job->timer.async_wait([this, job](ErrorCode error) {
        if (!error && job->running) {
            this->finishJob(job);
        }
    });
}

auto Upstream::startQueuedJobs() -> void
{
    while (!this->queuedJobs.empty() && this->running < this->options.slots) {
        const JobPtr job = this->queuedJobs.front();
        this->queuedJobs.pop_front();
        this->startJob(job);
    }
}

auto Upstream::finishJob(const JobPtr &job) -> void
{
    job->running = false;
    --this->running;
    this->sendAnswer(job->connection, this->makeAnswer(*job));
    this->startQueuedJobs();
}

auto Upstream::cancelJob(const JobPtr &job) -> void
{
    ++this->counters.cancelled;
    const auto position = std::find(this->queuedJobs.begin(), this->queuedJobs.end(), job);
    if (position != this->queuedJobs.end()) {
        this->queuedJobs.erase(position);
    }
    if (!job->running) {
        return;
    }
    job->running = false;
    --this->running;
    job->timer.cancel();
    this->startQueuedJobs();
}

auto Upstream::sendRefusal(const Connection &connection, unsigned status, const std::string &reason)
        -> void
{
    HttpAnswer answer;
    answer.status = status;
    answer.headers = { { "Content-Type", "application/json" } };
    answer.body = Json({ { "upstream", this->options.name }, { "reason", reason } }).dump();
    this->runOrHold(false, [connection, answer] { connection->answer(answer); });
}

auto Upstream::sendOverload(const Connection &connection, const std::string &reason) -> void
{
    HttpAnswer answer;
    answer.status = 503;
    answer.headers = { { "Retry-After", std::to_string(this->options.retryAfter) },
                       { "Content-Type", "application/json" } };
    answer.body = Json({ { "upstream", this->options.name }, { "reason", reason } }).dump();
    this->runOrHold(false, [connection, answer] { connection->answer(answer); });
}

auto Upstream::sendAnswer(const Connection &connection, const HttpAnswer &answer) -> void
{
    this->runOrHold(true, [this, connection, answer] {
        if (this->faults.cutAnswers == CutPoint::None) {
            connection->answer(answer);
            return;
        }
        this->sendCutAnswer(connection, answer);
    });
}

auto Upstream::sendCutAnswer(const Connection &connection, const HttpAnswer &answer) -> void
{
    std::string bytes = serializeHead(answer);
    if (this->faults.cutAnswers == CutPoint::Head) {
        bytes.resize(bytes.size() / 2);
    } else {
        bytes += answer.body.substr(0, answer.body.size() / 2);
    }
    connection->onClosed(nullptr);
    connection->write(std::make_shared<const std::string>(std::move(bytes)),
                      [connection] { connection->close(); });
}

auto Upstream::runOrHold(bool isJobAnswer, std::function<void()> action) -> void
{
    if (this->faults.silent) {
        this->heldActions.push_back(std::move(action));
        return;
    }
    if (isJobAnswer && this->faults.freezeAnswers) {
        this->heldAnswers.push_back(std::move(action));
        return;
    }
    action();
}

auto Upstream::runHeldActions() -> void
{
    if (!this->faults.silent) {
        for (const auto &action : std::exchange(this->heldActions, {})) {
            action();
        }
    }
    if (!this->faults.silent && !this->faults.freezeAnswers) {
        for (const auto &action : std::exchange(this->heldAnswers, {})) {
            action();
        }
    }
}

auto Upstream::makeAnswer(const Job &job) const -> HttpAnswer
{
    const HttpRequest &request = job.request;
    Json body = { { "upstream", this->options.name },
                  { "service", job.service },
                  { "row", headerOf(request, "Flamingograde-Row") },
                  { "key", headerOf(request, "Idempotency-Key") },
                  { "path", std::string(request.target()) },
                  { "body_hash", bodyHash(request.body()) },
                  { "run", job.runNumber } };
    const std::size_t length =
            std::max(this->options.answerBytes, body.dump().size() + maxLengthFieldBytes);
    body["length"] = length;
    HttpAnswer answer;
    answer.headers = { { "Content-Type", "application/json" } };
    answer.body = body.dump();
    answer.body.resize(length, ' ');
    return answer;
}

auto Upstream::serviceTime() -> std::chrono::nanoseconds
{
    const double jitter = this->options.serviceJitter;
    std::uniform_real_distribution<double> factor(1 - jitter, 1 + jitter);
    const double warmMs = this->options.serviceMs * factor(this->random);
    const double ms = warmMs * (1 + (coldFactor - 1) * this->coldFraction());
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double, std::milli>(ms));
}

auto Upstream::coldFraction() const -> double
{
    if (this->options.coldMs <= 0) {
        return 0;
    }
    const std::chrono::duration<double, std::milli> age =
            std::chrono::steady_clock::now() - this->startTime;
    return std::clamp(1 - age.count() / this->options.coldMs, 0.0, 1.0);
}

auto Upstream::load() const -> double
{
    const auto slots = static_cast<double>(std::max<std::size_t>(this->options.slots, 1));
    return this->faults.load.value_or(static_cast<double>(this->running) / slots);
}

} // namespace standins
