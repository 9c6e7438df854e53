#include "standins/caller/requestload.h"

#include "standins/common/bodyhash.h"
#include "standins/common/endpoint.h"

#include <algorithm>
#include <utility>

namespace standins {

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto poolCleanupPeriod = std::chrono::milliseconds(500);
/// Shortest pause after the first failure; doubled after each further one.
constexpr auto initialBackOff = std::chrono::milliseconds(100);
constexpr unsigned maxBackOffDoublings = 5; ///< Limit of the pause.
constexpr double retryAfterJitter = 0.1; ///< Maximum random extension of `Retry-After`, as a share.

auto toNanoseconds(double seconds) -> std::chrono::nanoseconds
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(seconds));
}

auto toMilliseconds(Clock::duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

RequestLoad::RequestLoad(asio::io_context &loop, LoadOptions options, std::uint64_t seed)
    : loop(loop), options(std::move(options)), random(seed), uuids(this->random()),
      pool(loop, parseEndpoint(this->options.address), this->options.source, this->options.reuse),
      timer(loop), poolCleanupTimer(loop), nextDue(Clock::now())
{
    std::uniform_int_distribution<int> letter('a', 'z');
    this->filler.resize(this->options.bodyBytes);
    for (char &each : this->filler) {
        each = static_cast<char>(letter(this->random));
    }
    this->tokens.resize(this->options.flows);
    this->scheduleNextRequest();
    this->schedulePoolCleanup();
}

auto RequestLoad::stop() -> void
{
    this->stopped = true;
    this->timer.cancel();
    this->notifyIfDone();
}

auto RequestLoad::wait(std::function<void()> done) -> void
{
    this->waiters.push_back(std::move(done));
    this->notifyIfDone();
}

auto RequestLoad::report() const -> Json
{
    Json report = this->counts.toJson();
    report["pending"] = this->pending;
    std::map<std::string, std::uint64_t> keys;
    for (const CallRecord &record : this->records) {
        ++keys[toString(record.overallVerdict())];
    }
    report["keys"] = keys;
    return report;
}

auto RequestLoad::verdicts() const -> Json
{
    Json list = Json::array();
    for (const CallRecord &record : this->records) {
        list.push_back(record.toJson(this->options.idempotent));
    }
    return list;
}

auto RequestLoad::scheduleNextRequest() -> void
{
    if (this->isSendingDone()) {
        return;
    }
    this->timer.expires_at(this->nextDue);
    this->timer.async_wait([this](ErrorCode error) {
        if (!error) {
            this->sendDueRequests();
            this->scheduleNextRequest();
        }
    });
}

auto RequestLoad::schedulePoolCleanup() -> void
{
    this->poolCleanupTimer.expires_after(poolCleanupPeriod);
    this->poolCleanupTimer.async_wait([this](ErrorCode error) {
        if (!error) {
            this->pool.dropUnusable();
            this->schedulePoolCleanup();
        }
    });
}

auto RequestLoad::sendDueRequests() -> void
{
    const auto now = Clock::now();
    while (!this->isSendingDone() && this->nextDue <= now) {
        this->sendNewRequest();
        this->nextDue += this->nextInterval();
    }
}

auto RequestLoad::sendNewRequest() -> void
{
    const CallPtr call = this->makeCall();
    ++this->counts.sent;
    ++this->pending;
    this->sendAttempt(call);
}

auto RequestLoad::makeCall() -> CallPtr
{
    const std::string uuid = this->uuids.next();
    const bool keyed = std::bernoulli_distribution(this->options.keyed)(this->random);
    const std::string zone = this->options.keyZone.empty() ? "" : this->options.keyZone + ".";
    auto call = std::make_shared<Call>();
    call->due = this->nextDue;
    call->recordIndex = this->records.size();
    call->flow = this->tokens.empty() ? 0 : call->recordIndex % this->tokens.size();
    call->request.host = this->options.host;
    call->request.path = "/" + this->options.name + "/" + uuid;
    call->request.key = keyed ? zone + uuid : "";
    call->request.deadlineMs = this->options.deadlineMs;
    call->request.body = this->makeBody(uuid);
    call->bodyHash = bodyHash(call->request.body);
    call->request.method = !this->options.idempotent    ? "POST"
                           : call->request.body.empty() ? "GET"
                                                        : "PUT";
    // On a reused connection that the peer has closed, it is unknown whether the request was run,
    // so a request that must not be repeated gets a new connection.
    call->needsNewConnection = !this->isSafeToRepeat(*call);
    this->records.push_back({ call->request.key, call->request.path });
    return call;
}

auto RequestLoad::makeBody(const std::string &start) const -> std::string
{
    std::string body = this->filler;
    std::copy_n(start.begin(), std::min(start.size(), body.size()), body.begin());
    return body;
}

auto RequestLoad::sendAttempt(const CallPtr &call) -> void
{
    ++this->counts.attempts;
    ++this->records[call->recordIndex].attempts;
    if (!this->tokens.empty()) {
        call->request.token = this->tokens[call->flow];
    }
    const auto connection = call->needsNewConnection ? this->pool.create() : this->pool.acquire();
    connection->send(call->request.toBytes(), toNanoseconds(this->options.timeoutMs / 1000),
                     [this, call, connection](const AttemptResult &result) {
                         this->pool.release(connection);
                         this->handleResult(call, result);
                     });
}

auto RequestLoad::handleResult(const CallPtr &call, const AttemptResult &result) -> void
{
    if (result.error) {
        this->handleFailure(call, result);
        return;
    }
    if (!this->tokens.empty() && !result.head.token.empty()) {
        this->tokens[call->flow] = result.head.token;
    }
    CallRecord &record = this->records[call->recordIndex];
    record.lastVerdict = result.head.verdict;
    record.notRunAttempts += result.head.verdict == Verdict::NotRun ? 1 : 0;
    record.anyAttemptRun = record.anyAttemptRun || result.head.verdict == Verdict::Run;
    if (result.head.isOk()) {
        this->handleAnswer(call, result);
        return;
    }
    this->handleRefusal(call, result);
}

auto RequestLoad::handleAnswer(const CallPtr &call, const AttemptResult &result) -> void
{
    const ExpectedAnswer expected { call->request.key, call->request.path, call->bodyHash,
                                    this->options.service };
    const CheckedAnswer checked = checkAnswer(result.body, expected);
    switch (checked.fault) {
    case AnswerFault::Incomplete:
        ++this->counts.incompleteAnswers;
        break;
    case AnswerFault::WrongRequest:
        ++this->counts.crossed;
        break;
    case AnswerFault::WrongService:
        ++this->counts.misdelivered;
        break;
    case AnswerFault::None:
        if (this->options.service.empty()) {
            this->options.service = checked.service;
        }
        ++this->counts.answered;
        ++this->counts.byUpstream[checked.upstream];
        this->counts.latencyMs.add(toMilliseconds(Clock::now() - call->due));
        this->records[call->recordIndex].answered = true;
        break;
    }
    --this->pending;
    this->notifyIfDone();
}

auto RequestLoad::handleRefusal(const CallPtr &call, const AttemptResult &result) -> void
{
    const AnswerHead &head = result.head;
    const std::string reason =
            head.reason.empty() ? "http-" + std::to_string(head.status) : head.reason;
    const std::string verdict = toString(head.verdict);
    ++this->counts.refusals[reason][verdict];
    const bool staleToken = reason == "stale-token" && !this->tokens.empty();
    if (staleToken) {
        this->tokens[call->flow].clear();
    }
    if (this->mayRetry(*call) && head.verdict != Verdict::Run) {
        const bool wasNotRun = head.verdict == Verdict::NotRun
                               || (head.verdict == Verdict::None && head.status == 503);
        const double jitter = std::uniform_real_distribution<>(0, retryAfterJitter)(this->random);
        if (head.retryAfterS && (wasNotRun || this->isSafeToRepeat(*call))) {
            this->scheduleRetry(call, toNanoseconds(*head.retryAfterS * (1 + jitter)));
            return;
        }
        if (staleToken || (!wasNotRun && this->isSafeToRepeat(*call))) {
            this->scheduleRetry(call, this->nextBackOff(*call));
            return;
        }
    }
    ++this->counts.refused[reason][verdict];
    ++this->counts.refusedTotal;
    --this->pending;
    this->notifyIfDone();
}

auto RequestLoad::handleFailure(const CallPtr &call, const AttemptResult &result) -> void
{
    this->records[call->recordIndex].lastVerdict = Verdict::None;
    if (result.staleConnection) {
        ++this->counts.staleConnections;
        call->needsNewConnection = true;
        this->scheduleRetry(call, std::chrono::nanoseconds(0));
        return;
    }
    ++(result.timedOut ? this->counts.timeouts : this->counts.broken);
    if (this->mayRetry(*call) && this->isSafeToRepeat(*call)) {
        this->scheduleRetry(call, this->nextBackOff(*call));
        return;
    }
    ++this->counts.unanswered;
    --this->pending;
    this->notifyIfDone();
}

auto RequestLoad::scheduleRetry(const CallPtr &call, std::chrono::nanoseconds pause) -> void
{
    const auto timer = std::make_shared<asio::steady_timer>(this->loop, pause);
    timer->async_wait([this, timer, call](ErrorCode error) {
        if (!error) {
            this->sendAttempt(call);
        }
    });
}

auto RequestLoad::notifyIfDone() -> void
{
    if (!this->isSendingDone() || this->pending > 0) {
        return;
    }
    for (const auto &waiter : std::exchange(this->waiters, {})) {
        waiter();
    }
}

auto RequestLoad::mayRetry(const Call &call) const -> bool
{
    return this->options.retries && this->records[call.recordIndex].attempts < this->options.tries;
}

/// Returns whether the request may be sent again although an earlier attempt may have been run.
auto RequestLoad::isSafeToRepeat(const Call &call) const -> bool
{
    return this->options.idempotent || !call.request.key.empty();
}

auto RequestLoad::nextBackOff(Call &call) -> std::chrono::nanoseconds
{
    const unsigned doublings = std::min(call.failures, maxBackOffDoublings);
    ++call.failures;
    const double factor = std::uniform_real_distribution<>(1, 2)(this->random);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(initialBackOff * factor
                                                                * (1U << doublings));
}

auto RequestLoad::nextInterval() -> std::chrono::nanoseconds
{
    if (this->options.rate <= 0) {
        return std::chrono::nanoseconds(0);
    }
    if (this->options.poisson) {
        return toNanoseconds(std::exponential_distribution<>(this->options.rate)(this->random));
    }
    return toNanoseconds(1 / this->options.rate);
}

auto RequestLoad::isSendingDone() const -> bool
{
    return this->stopped || (this->options.count > 0 && this->counts.sent >= this->options.count);
}

} // namespace standins
