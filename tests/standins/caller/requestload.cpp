#include "standins/caller/requestload.h"

#include "standins/common/bodyhash.h"
#include "standins/common/endpoint.h"

#include <algorithm>
#include <utility>

namespace standins {

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto sweepPeriod = std::chrono::milliseconds(500);  ///< Of kept connections.
constexpr auto firstBackOff = std::chrono::milliseconds(100); ///< Doubled by each failure.
constexpr unsigned backOffDoublings = 5;
constexpr double retryAfterJitter = 0.1; ///< Added to a told pause, at most, as a share of it.

auto nanoseconds(double seconds) -> std::chrono::nanoseconds
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(seconds));
}

auto milliseconds(Clock::duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

RequestLoad::RequestLoad(asio::io_context &loop, LoadOptions options, std::uint64_t seed)
    : loop(loop), options(std::move(options)), random(seed), uuids(this->random()),
      pool(loop, parseEndpoint(this->options.address), this->options.source, this->options.reuse),
      timer(loop), sweepTimer(loop), nextDue(Clock::now())
{
    std::uniform_int_distribution<int> letter('a', 'z');
    this->filler.resize(this->options.bodyBytes);
    for (char &each : this->filler) {
        each = static_cast<char>(letter(this->random));
    }
    this->tokens.resize(this->options.flows);
    this->scheduleNext();
    this->scheduleSweep();
}

auto RequestLoad::stop() -> void
{
    this->stopped = true;
    this->timer.cancel();
    this->finish();
}

auto RequestLoad::wait(std::function<void()> done) -> void
{
    this->waiters.push_back(std::move(done));
    this->finish();
}

auto RequestLoad::report() const -> Json
{
    Json report = this->counts.toJson();
    report["pending"] = this->pending;
    std::map<std::string, std::uint64_t> keys;
    for (const CallRecord &record : this->records) {
        ++keys[toString(record.overall())];
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

auto RequestLoad::scheduleNext() -> void
{
    if (this->isSendingOver()) {
        return;
    }
    this->timer.expires_at(this->nextDue);
    this->timer.async_wait([this](ErrorCode error) {
        if (!error) {
            this->sendDue();
            this->scheduleNext();
        }
    });
}

auto RequestLoad::scheduleSweep() -> void
{
    this->sweepTimer.expires_after(sweepPeriod);
    this->sweepTimer.async_wait([this](ErrorCode error) {
        if (!error) {
            this->pool.sweep();
            this->scheduleSweep();
        }
    });
}

auto RequestLoad::sendDue() -> void
{
    const auto now = Clock::now();
    while (!this->isSendingOver() && this->nextDue <= now) {
        this->sendNew();
        this->nextDue += this->gap();
    }
}

auto RequestLoad::sendNew() -> void
{
    const CallPtr call = this->makeCall();
    ++this->counts.sent;
    ++this->pending;
    this->attempt(call);
}

auto RequestLoad::makeCall() -> CallPtr
{
    const std::string uuid = this->uuids.next();
    const bool keyed = std::bernoulli_distribution(this->options.keyed)(this->random);
    const std::string zone = this->options.keyZone.empty() ? "" : this->options.keyZone + ".";
    auto call = std::make_shared<Call>();
    call->due = this->nextDue;
    call->record = this->records.size();
    call->flow = this->tokens.empty() ? 0 : call->record % this->tokens.size();
    call->request.host = this->options.host;
    call->request.path = "/" + this->options.name + "/" + uuid;
    call->request.key = keyed ? zone + uuid : "";
    call->request.deadlineMs = this->options.deadlineMs;
    call->request.body = this->makeBody(uuid);
    call->bodyHash = bodyHash(call->request.body);
    call->request.method = !this->options.idempotent    ? "POST"
                           : call->request.body.empty() ? "GET"
                                                        : "PUT";
    // A request that must not be sent twice can't go on a connection that may have been closed.
    call->freshConnection = !this->isRepeatSafe(*call);
    this->records.push_back({ call->request.key, call->request.path });
    return call;
}

auto RequestLoad::makeBody(const std::string &start) const -> std::string
{
    std::string body = this->filler;
    std::copy_n(start.begin(), std::min(start.size(), body.size()), body.begin());
    return body;
}

auto RequestLoad::attempt(const CallPtr &call) -> void
{
    ++this->counts.attempts;
    ++this->records[call->record].attempts;
    if (!this->tokens.empty()) {
        call->request.token = this->tokens[call->flow];
    }
    const auto connection = call->freshConnection ? this->pool.makeNew() : this->pool.take();
    connection->send(call->request.toBytes(), nanoseconds(this->options.timeoutMs / 1000),
                     [this, call, connection](const AttemptResult &result) {
                         this->pool.giveBack(connection);
                         this->takeResult(call, result);
                     });
}

auto RequestLoad::takeResult(const CallPtr &call, const AttemptResult &result) -> void
{
    if (result.error) {
        this->takeFailure(call, result);
        return;
    }
    if (!this->tokens.empty() && !result.head.token.empty()) {
        this->tokens[call->flow] = result.head.token;
    }
    CallRecord &record = this->records[call->record];
    record.last = result.head.verdict;
    record.notRun += result.head.verdict == Verdict::NotRun ? 1 : 0;
    record.sawRun = record.sawRun || result.head.verdict == Verdict::Run;
    if (result.head.isOk()) {
        this->takeAnswer(call, result);
        return;
    }
    this->takeRefusal(call, result);
}

auto RequestLoad::takeAnswer(const CallPtr &call, const AttemptResult &result) -> void
{
    const ExpectedAnswer expected { call->request.key, call->request.path, call->bodyHash,
                                    this->options.service };
    const CheckedAnswer checked = checkAnswer(result.body, expected);
    switch (checked.fault) {
    case AnswerFault::Incomplete:
        ++this->counts.incompleteAnswers;
        break;
    case AnswerFault::Crossed:
        ++this->counts.crossed;
        break;
    case AnswerFault::Misdelivered:
        ++this->counts.misdelivered;
        break;
    case AnswerFault::None:
        if (this->options.service.empty()) {
            this->options.service = checked.service;
        }
        ++this->counts.answered;
        ++this->counts.byUpstream[checked.upstream];
        this->counts.latencyMs.add(milliseconds(Clock::now() - call->due));
        this->records[call->record].answered = true;
        break;
    }
    --this->pending;
    this->finish();
}

auto RequestLoad::takeRefusal(const CallPtr &call, const AttemptResult &result) -> void
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
    if (this->mayRepeat(*call) && head.verdict != Verdict::Run) {
        const bool wasNotRun = head.verdict == Verdict::NotRun
                               || (head.verdict == Verdict::None && head.status == 503);
        const double jitter = std::uniform_real_distribution<>(0, retryAfterJitter)(this->random);
        if (head.retryAfterS && (wasNotRun || this->isRepeatSafe(*call))) {
            this->attemptAgain(call, nanoseconds(*head.retryAfterS * (1 + jitter)));
            return;
        }
        if (staleToken || (!wasNotRun && this->isRepeatSafe(*call))) {
            this->attemptAgain(call, this->backOff(*call));
            return;
        }
    }
    ++this->counts.refused[reason][verdict];
    ++this->counts.refusedTotal;
    --this->pending;
    this->finish();
}

auto RequestLoad::takeFailure(const CallPtr &call, const AttemptResult &result) -> void
{
    this->records[call->record].last = Verdict::None;
    if (result.staleConnection) {
        ++this->counts.staleConnections;
        call->freshConnection = true;
        this->attemptAgain(call, std::chrono::nanoseconds(0));
        return;
    }
    ++(result.timedOut ? this->counts.timeouts : this->counts.broken);
    if (this->mayRepeat(*call) && this->isRepeatSafe(*call)) {
        this->attemptAgain(call, this->backOff(*call));
        return;
    }
    ++this->counts.unanswered;
    --this->pending;
    this->finish();
}

auto RequestLoad::attemptAgain(const CallPtr &call, std::chrono::nanoseconds pause) -> void
{
    const auto timer = std::make_shared<asio::steady_timer>(this->loop, pause);
    timer->async_wait([this, timer, call](ErrorCode error) {
        if (!error) {
            this->attempt(call);
        }
    });
}

auto RequestLoad::finish() -> void
{
    if (!this->isSendingOver() || this->pending > 0) {
        return;
    }
    for (const auto &waiter : std::exchange(this->waiters, {})) {
        waiter();
    }
}

auto RequestLoad::mayRepeat(const Call &call) const -> bool
{
    return this->options.retries && this->records[call.record].attempts < this->options.tries;
}

/// Returns whether the request may be sent again when an earlier attempt may have run.
auto RequestLoad::isRepeatSafe(const Call &call) const -> bool
{
    return this->options.idempotent || !call.request.key.empty();
}

auto RequestLoad::backOff(Call &call) -> std::chrono::nanoseconds
{
    const unsigned doublings = std::min(call.failures, backOffDoublings);
    ++call.failures;
    const double factor = std::uniform_real_distribution<>(1, 2)(this->random);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(firstBackOff * factor
                                                                * (1U << doublings));
}

auto RequestLoad::gap() -> std::chrono::nanoseconds
{
    if (this->options.rate <= 0) {
        return std::chrono::nanoseconds(0);
    }
    if (this->options.poisson) {
        return nanoseconds(std::exponential_distribution<>(this->options.rate)(this->random));
    }
    return nanoseconds(1 / this->options.rate);
}

auto RequestLoad::isSendingOver() const -> bool
{
    return this->stopped || (this->options.count > 0 && this->counts.sent >= this->options.count);
}

} // namespace standins
