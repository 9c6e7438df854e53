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

constexpr double coldFactor = 4;       ///< Service time of a cold upstream, against a warm one.
constexpr std::size_t lengthRoom = 24; ///< Bytes of the field `length` of an answer, at most.

auto headerOf(const HttpRequest &request, const char *name) -> std::string
{
    return std::string(request[name]);
}

auto numberOf(const std::string &text) -> std::optional<std::int64_t>
{
    if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return std::stoll(text);
}

auto isExpired(const HttpRequest &request) -> bool
{
    const auto deadline = numberOf(headerOf(request, "Flamingograde-Deadline"));
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
      started(std::chrono::steady_clock::now()),
      feeds(loop, options.name, options.service, options.eventMs),
      server(loop, options.listen, [this](const Connection &connection, HttpRequest request) {
          this->handle(connection, std::move(request));
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
    this->releaseHeld();
}

auto Upstream::totals() const -> Totals
{
    Totals totals = this->counters;
    totals.feedsOpen = this->feeds.size();
    return totals;
}

auto Upstream::handle(const Connection &connection, HttpRequest request) -> void
{
    if (request.target() == "/healthz") {
        this->answerHealth(connection);
        return;
    }
    if (request[http::field::host] != this->options.service) {
        ++this->counters.misdirected;
        this->refuse(connection, 421, "misdirected");
        return;
    }
    if (isFeed(request)) {
        this->openFeed(connection, request);
        return;
    }
    this->takeJob(connection, std::move(request));
}

auto Upstream::answerHealth(const Connection &connection) -> void
{
    ++this->counters.healthReads;
    const bool lies = this->faults.health == HealthMode::Lie;
    const bool cold = this->faults.health == HealthMode::Cold || this->coldness() > 0;
    const bool draining = this->faults.health == HealthMode::Draining;
    const std::string status = lies ? "ok" : draining ? "draining" : cold ? "cold" : "ok";
    const double load = lies ? 0 : this->load();
    HttpAnswer answer;
    answer.status = status == "ok" ? 200 : 503;
    answer.headers = { { "Content-Type", "application/json" } };
    answer.body = Json({ { "status", status }, { "load", load } }).dump();
    this->hold(false, [connection, answer] { connection->answer(answer); });
}

auto Upstream::openFeed(const Connection &connection, const HttpRequest &request) -> void
{
    if (this->feeds.size() >= this->options.connections) {
        ++this->counters.overConnections;
        this->shed(connection, "connections");
        return;
    }
    ++this->counters.feedsOpened;
    const auto lastId = numberOf(headerOf(request, "Last-Event-ID"));
    this->hold(false, [this, connection, lastId] { this->feeds.open(connection, lastId); });
}

auto Upstream::takeJob(const Connection &connection, HttpRequest request) -> void
{
    const bool full = this->running >= this->options.slots;
    this->counters.overSlots += full ? 1 : 0;
    if (this->faults.shed || (full && this->waiting.size() >= this->options.queue)) {
        ++this->counters.shed;
        this->shed(connection, "shed");
        return;
    }
    auto job = std::make_shared<Job>(this->loop, connection, std::move(request));
    connection->onClosed([this, job] { this->cancel(job); });
    if (full) {
        this->waiting.push_back(job);
        return;
    }
    this->begin(job);
}

auto Upstream::begin(const JobPtr &job) -> void
{
    const HttpRequest &request = job->request;
    if (isExpired(request)) {
        ++this->counters.expired;
        this->refuse(job->connection, 504, "expired");
        return;
    }
    job->running = true;
    job->service = this->options.service;
    ++this->running;
    ++this->counters.runs;
    this->counters.runningMax = std::max<std::uint64_t>(this->counters.runningMax, this->running);
    this->counters.uploads += request.body().empty() ? 0 : 1;
    this->counters.bodyBytes += request.body().size();
    job->times =
            this->ledger.record(headerOf(request, "Idempotency-Key"), std::string(request.target()),
                                headerOf(request, "Flamingograde-Row"), this->options.service);
    job->timer.expires_after(this->serviceTime());
    job->timer.async_wait([this, job](ErrorCode error) {
        if (!error && job->running) {
            this->finish(job);
        }
    });
}

auto Upstream::beginNext() -> void
{
    while (!this->waiting.empty() && this->running < this->options.slots) {
        const JobPtr job = this->waiting.front();
        this->waiting.pop_front();
        this->begin(job);
    }
}

auto Upstream::finish(const JobPtr &job) -> void
{
    job->running = false;
    --this->running;
    this->sendAnswer(job->connection, this->answerTo(*job));
    this->beginNext();
}

auto Upstream::cancel(const JobPtr &job) -> void
{
    ++this->counters.cancelled;
    const auto place = std::find(this->waiting.begin(), this->waiting.end(), job);
    if (place != this->waiting.end()) {
        this->waiting.erase(place);
    }
    if (!job->running) {
        return;
    }
    job->running = false;
    --this->running;
    job->timer.cancel();
    this->beginNext();
}

auto Upstream::refuse(const Connection &connection, unsigned status, const std::string &reason)
        -> void
{
    HttpAnswer answer;
    answer.status = status;
    answer.headers = { { "Content-Type", "application/json" } };
    answer.body = Json({ { "upstream", this->options.name }, { "reason", reason } }).dump();
    this->hold(false, [connection, answer] { connection->answer(answer); });
}

auto Upstream::shed(const Connection &connection, const std::string &reason) -> void
{
    HttpAnswer answer;
    answer.status = 503;
    answer.headers = { { "Retry-After", std::to_string(this->options.retryAfter) },
                       { "Content-Type", "application/json" } };
    answer.body = Json({ { "upstream", this->options.name }, { "reason", reason } }).dump();
    this->hold(false, [connection, answer] { connection->answer(answer); });
}

auto Upstream::sendAnswer(const Connection &connection, const HttpAnswer &answer) -> void
{
    this->hold(true, [this, connection, answer] {
        if (this->faults.cutAnswers == CutAnswers::None) {
            connection->answer(answer);
            return;
        }
        this->cutAnswer(connection, answer);
    });
}

auto Upstream::cutAnswer(const Connection &connection, const HttpAnswer &answer) -> void
{
    std::string bytes = headOf(answer);
    if (this->faults.cutAnswers == CutAnswers::Head) {
        bytes.resize(bytes.size() / 2);
    } else {
        bytes += answer.body.substr(0, answer.body.size() / 2);
    }
    connection->onClosed(nullptr);
    connection->write(std::make_shared<const std::string>(std::move(bytes)),
                      [connection] { connection->close(); });
}

auto Upstream::hold(bool answersOnly, std::function<void()> action) -> void
{
    if (this->faults.silent) {
        this->heldAll.push_back(std::move(action));
        return;
    }
    if (answersOnly && this->faults.freezeAnswers) {
        this->heldAnswers.push_back(std::move(action));
        return;
    }
    action();
}

auto Upstream::releaseHeld() -> void
{
    if (!this->faults.silent) {
        for (const auto &action : std::exchange(this->heldAll, {})) {
            action();
        }
    }
    if (!this->faults.silent && !this->faults.freezeAnswers) {
        for (const auto &action : std::exchange(this->heldAnswers, {})) {
            action();
        }
    }
}

auto Upstream::answerTo(const Job &job) const -> HttpAnswer
{
    const HttpRequest &request = job.request;
    Json body = { { "upstream", this->options.name },
                  { "service", job.service },
                  { "row", headerOf(request, "Flamingograde-Row") },
                  { "key", headerOf(request, "Idempotency-Key") },
                  { "path", std::string(request.target()) },
                  { "body_hash", bodyHash(request.body()) },
                  { "run", job.times } };
    const std::size_t length = std::max(this->options.answerBytes, body.dump().size() + lengthRoom);
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
    const double warm = this->options.serviceMs * factor(this->random);
    const double ms = warm * (1 + (coldFactor - 1) * this->coldness());
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double, std::milli>(ms));
}

auto Upstream::coldness() const -> double
{
    if (this->options.coldMs <= 0) {
        return 0;
    }
    const std::chrono::duration<double, std::milli> age =
            std::chrono::steady_clock::now() - this->started;
    return std::clamp(1 - age.count() / this->options.coldMs, 0.0, 1.0);
}

auto Upstream::load() const -> double
{
    const auto slots = static_cast<double>(std::max<std::size_t>(this->options.slots, 1));
    return this->faults.load.value_or(static_cast<double>(this->running) / slots);
}

} // namespace standins
