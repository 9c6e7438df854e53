/// Outcomes of requests.
#include "core/requests/outcomecontroller.h"

#include "core/blackboard.h"
#include "core/overloaded.h"
#include "core/requests/answermeaning.h"
#include "core/requests/refuse.h"
#include "core/requests/token.h"

#include <algorithm>

namespace flamingograde {

namespace {

constexpr Duration noRetry { 0 };

auto isSent(const Exchange &exchange) -> bool
{
    return exchange.stage == Stage::Relayed || exchange.stage == Stage::Dispatched
           || exchange.stage == Stage::Answering;
}

/// Notes that the current attempt surely ran nothing.
auto noteNotRun(Exchange &exchange) -> void
{
    exchange.maybeSent = false;
    exchange.avoid = exchange.cell;
}

/// Returns whether a choice of cells is left to the placement.
auto isFreeToMove(const Exchange &exchange) -> bool
{
    return exchange.origin == Origin::Caller && (exchange.idempotent || exchange.ownKey);
}

/// Returns whether the exchange's cell still has the home to which it was last sent.
auto hasSameHome(const Blackboard &board, const Exchange &exchange) -> bool
{
    const auto &indices = board.table().upstreamsOf(exchange.cell);
    if (indices.empty()) {
        return false;
    }
    const auto zone = board.table().upstreams()[indices.front()].zone;
    return board.membership.homeOf(exchange.cell, zone) == exchange.home;
}

/// Returns the pause before an exchange is placed again after its home did not take it: none where
/// it can go to another host.
auto pauseBefore(const Blackboard &board, const Exchange &exchange) -> Duration
{
    const auto first = exchange.attempt <= 1;
    if (first && (isFreeToMove(exchange) || !hasSameHome(board, exchange))) {
        return Duration::zero();
    }
    return config::placeRetryMin * std::max<std::uint32_t>(exchange.attempt, 1U);
}

/// Places `exchange` again after `pause`, or refuses it where attempts or time have run out.
auto placeAgain(Blackboard &board, Exchange &exchange, Duration pause, const Refusal &otherwise)
        -> void
{
    const auto again = board.now.mono + pause;
    if (exchange.attempt >= config::relayAttempts || again >= exchange.deadline) {
        return refuse(board, exchange, otherwise);
    }
    ++board.stats.retried;
    board.cells.remove(exchange.id);
    exchange.stage = Stage::Placing;
    if (pause > Duration::zero()) {
        return board.exchanges.placeLater(exchange.id, again);
    }
    board.toPlace.push_back(exchange.id);
}

/// Places again what an upstream did not run, if the budget for such retries allows it.
auto retryOrRefuse(Blackboard &board, Exchange &exchange, const Refusal &otherwise) -> void
{
    if (exchange.callerGone) {
        return forget(board, exchange.id);
    }
    if (!board.retryBudget.spend()) {
        return refuse(board, exchange, otherwise);
    }
    placeAgain(board, exchange, Duration::zero(), otherwise);
}

auto onNotSent(Blackboard &board, Exchange &exchange) -> void
{
    const auto wasRelayed = exchange.stage == Stage::Relayed;
    noteNotRun(exchange);
    if (wasRelayed) {
        const Refusal otherwise { RefusalReason::NoHome, verdictOf(exchange),
                                  config::retryAfterMin };
        return placeAgain(board, exchange, pauseBefore(board, exchange), otherwise);
    }
    const Refusal otherwise { RefusalReason::NoUpstream, verdictOf(exchange),
                              config::retryAfterMin };
    retryOrRefuse(board, exchange, otherwise);
}

auto onLost(Blackboard &board, Exchange &exchange) -> void
{
    board.log(LogEvent::AnswerLost, exchange.idempotent ? "idempotent=true" : "idempotent=false");
    if (exchange.callerGone) {
        return forget(board, exchange.id);
    }
    const auto isLate = board.now.mono >= exchange.deadline; // The transport gave up on time.
    const Refusal lost { isLate ? RefusalReason::DeadlineUnmet : RefusalReason::Lost,
                         Verdict::Unknown, exchange.idempotent ? config::retryAfterMin : noRetry };
    if (!exchange.idempotent) {
        return refuse(board, exchange, lost);
    }
    exchange.sentBefore = true;
    exchange.avoid = exchange.cell;
    retryOrRefuse(board, exchange, lost);
}

/// Returns whether another placement may help after a home's refusal.
auto isPlacementRefusal(RefusalReason reason) -> bool
{
    switch (reason) {
    case RefusalReason::WrongHome:
    case RefusalReason::OldTable:
    case RefusalReason::NoHome:
    case RefusalReason::NotReady:
    case RefusalReason::Stopping:
        return true;
    default:
        return false;
    }
}

/// Returns the home's refusal as a caller may be told: words between hosts become `NoHome`, and
/// "not run" holds for all attempts.
auto refusalForCaller(const Exchange &exchange, const AnswerHead &head) -> Refusal
{
    Refusal refusal { head.reason, head.verdict, head.retryAfter };
    if (isPlacementRefusal(head.reason)) {
        refusal.reason = RefusalReason::NoHome;
        refusal.retryAfter = std::max<Duration>(refusal.retryAfter, config::retryAfterMin);
    }
    if (refusal.verdict == Verdict::NotRun) {
        refusal.verdict = verdictOf(exchange);
    }
    return refusal;
}

auto onHomeRefusal(Blackboard &board, Exchange &exchange, const AnswerHead &head) -> void
{
    // No other host knows a key made here: a home that cannot tell whether it ran has not run it.
    const auto isOwnUnknown = exchange.ownKey && head.reason == RefusalReason::KeyUnknown
                              && head.verdict == Verdict::Unknown;
    if (head.verdict == Verdict::NotRun || isOwnUnknown) {
        noteNotRun(exchange);
    }
    auto refusal = refusalForCaller(exchange, head);
    if (isOwnUnknown) {
        refusal = { RefusalReason::NoHome, verdictOf(exchange), config::retryAfterMin };
    }
    const auto mayMove = head.verdict == Verdict::NotRun && isPlacementRefusal(head.reason);
    if (mayMove || isOwnUnknown) {
        return placeAgain(board, exchange, pauseBefore(board, exchange), refusal);
    }
    refuse(board, exchange, refusal);
}

auto onUnrun(Blackboard &board, Exchange &exchange, const AnswerHead &head) -> void
{
    noteNotRun(exchange);
    const auto pause =
            std::clamp<Duration>(head.retryAfter, config::retryAfterMin, config::retryAfterMax);
    retryOrRefuse(board, exchange, { RefusalReason::NoUpstream, verdictOf(exchange), pause });
}

/// Returns the token by which the flow comes back to the upstream that answered; empty where the
/// caller has it already, where this host does not know the upstream, or where tokens do not steer.
auto tokenFor(Blackboard &board, const Exchange &exchange) -> std::string
{
    const auto *key = signingKey(board.table().tokenKeys());
    const auto known = exchange.stage == Stage::Dispatched && exchange.upstream.isValid();
    if (key == nullptr || !known || !exchange.idempotent || exchange.bound) {
        return {};
    }
    const auto flow = exchange.flow.isValid() ? exchange.flow
                                              : FlowId(std::max<std::uint64_t>(board.random(), 1));
    return signToken({ exchange.service, exchange.upstream, flow }, *key);
}

auto onHead(Blackboard &board, Exchange &exchange, const AnswerHead &head) -> void
{
    if (exchange.stage == Stage::Answering) {
        return;
    }
    if (exchange.stage == Stage::Relayed && head.refusal) {
        return onHomeRefusal(board, exchange, head);
    }
    if (exchange.stage == Stage::Dispatched && saysTooLate(head)) {
        return refuse(board, exchange, RefusalReason::DeadlineUnmet, config::retryAfterMin);
    }
    if (exchange.stage == Stage::Dispatched && saysUnrun(head)) {
        return onUnrun(board, exchange, head);
    }
    board.act(PassAnswer { exchange.id, tokenFor(board, exchange) });
    exchange.stage = Stage::Answering;
}

auto onAnswered(Blackboard &board, Exchange &exchange) -> void
{
    if (exchange.stage != Stage::Answering) {
        return onLost(board, exchange);
    }
    ++board.stats.answered;
    board.retryBudget.earn();
    forget(board, exchange.id);
}

auto onCut(Blackboard &board, Exchange &exchange) -> void
{
    if (exchange.stage != Stage::Answering) {
        return onLost(board, exchange);
    }
    ++board.stats.cut;
    board.log(LogEvent::AnswerLost, "why=\"broke off\"");
    if (!exchange.callerGone) {
        board.act(AbortAnswer { exchange.id });
    }
    forget(board, exchange.id);
}

auto onProgress(Blackboard &board, const ExchangeProgress &report) -> void
{
    auto *exchange = board.exchanges.find(report.exchange);
    if (exchange == nullptr || exchange->attempt != report.attempt || !isSent(*exchange)) {
        return;
    }
    switch (report.progress) {
    case Progress::NotSent:
        return onNotSent(board, *exchange);
    case Progress::Lost:
        return onCut(board, *exchange);
    case Progress::Answering:
        return onHead(board, *exchange, report.head.value_or(AnswerHead {}));
    case Progress::Answered:
        return onAnswered(board, *exchange);
    case Progress::Cut:
        return onCut(board, *exchange);
    }
}

/// A request with a caller's key that may be running runs on, so that a repeat of its key gets the
/// answer. Everything else ends here.
auto onCallerLeft(Blackboard &board, ExchangeId id) -> void
{
    auto *exchange = board.exchanges.find(id);
    if (exchange == nullptr || exchange->callerGone) {
        return;
    }
    board.log(LogEvent::CallerGone, exchange->idempotent ? "idempotent=true" : "idempotent=false");
    const auto atUpstream =
            exchange->stage == Stage::Dispatched
            || (exchange->stage == Stage::Answering && exchange->home == board.init.self.id);
    const auto mayBeRepeated = !exchange->idempotent && !exchange->ownKey;
    if (mayBeRepeated && atUpstream) {
        exchange->callerGone = true;
        return;
    }
    ++board.stats.cancelled;
    if (isSent(*exchange)) {
        board.act(Cancel { id });
    }
    forget(board, id);
}

/// Ends an exchange whose deadline has passed.
auto expire(Blackboard &board, Exchange &exchange) -> void
{
    ++board.stats.cancelled;
    if (exchange.callerGone) {
        board.act(Cancel { exchange.id });
        return forget(board, exchange.id);
    }
    if (exchange.stage == Stage::Answering) {
        ++board.stats.cut;
        board.act(AbortAnswer { exchange.id });
        return forget(board, exchange.id);
    }
    refuse(board, exchange, RefusalReason::DeadlineUnmet, config::retryAfterMin);
}

auto expireAll(Blackboard &board) -> void
{
    for (const auto id : board.exchanges.expired(board.now.mono)) {
        if (auto *exchange = board.exchanges.find(id)) {
            expire(board, *exchange);
        }
    }
}

/// Places idempotent requests again whose home has been given up; the others may still get their
/// answer and are left to their deadline.
auto leaveDeadHomes(Blackboard &board) -> void
{
    std::vector<ExchangeId> stranded;
    for (const auto &[id, exchange] : board.exchanges.all()) {
        if (exchange.stage != Stage::Relayed || !exchange.idempotent) {
            continue;
        }
        const auto *home = board.membership.find(exchange.home);
        if (home == nullptr || home->state == MemberState::Dead) {
            stranded.push_back(id);
        }
    }
    std::sort(stranded.begin(), stranded.end());
    for (const auto id : stranded) {
        onLost(board, *board.exchanges.find(id));
    }
}

} // namespace

auto OutcomeController::handle(Blackboard &board, const Event &event) -> void
{
    std::visit(Overloaded {
                       [&](const ExchangeProgress &report) { onProgress(board, report); },
                       [&](const CallerLeft &left) { onCallerLeft(board, left.exchange); },
                       [](const auto &) {},
               },
               event);
    expireAll(board);
    if (this->members != board.membership.version()) {
        this->members = board.membership.version();
        leaveDeadHomes(board);
    }
}

} // namespace flamingograde
