/// Handling of request outcomes: retries, refusals, cancellations and deadlines.
#include "core/requests/outcomecontroller.h"

#include "core/blackboard.h"
#include "core/overloaded.h"
#include "core/requests/answermeaning.h"
#include "core/requests/refuse.h"
#include "core/requests/token.h"

#include <algorithm>

namespace flamingograde {

namespace {

constexpr Duration noRetryAfter { 0 };

auto isSent(const Exchange &exchange) -> bool
{
    return exchange.stage == Stage::Relayed || exchange.stage == Stage::Dispatched
           || exchange.stage == Stage::Answering;
}

/// Marks the current attempt as provably not run, and its cell as one to avoid.
auto markNotRun(Exchange &exchange) -> void
{
    exchange.maybeSent = false;
    exchange.avoidCell = exchange.cell;
}

/// Returns whether the placement may choose another cell: the request came from a caller, and no
/// key of the caller's fixes its cell.
auto mayChangeCell(const Exchange &exchange) -> bool
{
    return exchange.origin == Origin::Caller && (exchange.idempotent || exchange.hasGeneratedKey);
}

/// Returns whether the home of the exchange's cell is still the host to which it was last relayed.
auto isHomeUnchanged(const Blackboard &board, const Exchange &exchange) -> bool
{
    const auto &indices = board.table().upstreamsOf(exchange.cell);
    if (indices.empty()) {
        return false;
    }
    const auto zone = board.table().upstreams()[indices.front()].zone;
    return board.membership.homeOf(exchange.cell, zone) == exchange.home;
}

/// Returns the delay before an exchange is placed again after its home did not accept it. The first
/// retry is not delayed if it can go to another host.
auto placementRetryDelay(const Blackboard &board, const Exchange &exchange) -> Duration
{
    const auto isFirstAttempt = exchange.attempt <= 1;
    if (isFirstAttempt && (mayChangeCell(exchange) || !isHomeUnchanged(board, exchange))) {
        return Duration::zero();
    }
    return config::placeRetryMin * std::max<std::uint32_t>(exchange.attempt, 1U);
}

/// Places `exchange` again after `pause`. Refuses it with `finalRefusal` if its attempts are used
/// up or its deadline comes first.
auto retryPlacement(Blackboard &board, Exchange &exchange, Duration pause,
                    const Refusal &finalRefusal) -> void
{
    const auto retryTime = board.now.mono + pause;
    if (exchange.attempt >= config::relayAttempts || retryTime >= exchange.deadline) {
        return refuse(board, exchange, finalRefusal);
    }
    ++board.stats.retried;
    board.cells.remove(exchange.id);
    exchange.stage = Stage::Placing;
    if (pause > Duration::zero()) {
        return board.exchanges.placeLater(exchange.id, retryTime);
    }
    board.toPlace.push_back(exchange.id);
}

/// Takes one retry from the budget and places `exchange` again at once. Refuses it with
/// `finalRefusal` if the budget is empty, and drops it if its caller has left.
auto spendRetryOrRefuse(Blackboard &board, Exchange &exchange, const Refusal &finalRefusal) -> void
{
    if (exchange.callerGone) {
        return forget(board, exchange.id);
    }
    if (!board.retryBudget.spend()) {
        return refuse(board, exchange, finalRefusal);
    }
    retryPlacement(board, exchange, Duration::zero(), finalRefusal);
}

auto onNotSent(Blackboard &board, Exchange &exchange) -> void
{
    const auto wasRelayed = exchange.stage == Stage::Relayed;
    markNotRun(exchange);
    if (wasRelayed) {
        const Refusal finalRefusal { RefusalReason::NoHome, verdictOf(exchange),
                                     config::retryAfterMin };
        return retryPlacement(board, exchange, placementRetryDelay(board, exchange), finalRefusal);
    }
    const Refusal finalRefusal { RefusalReason::NoUpstream, verdictOf(exchange),
                                 config::retryAfterMin };
    spendRetryOrRefuse(board, exchange, finalRefusal);
}

auto onLost(Blackboard &board, Exchange &exchange) -> void
{
    board.log(LogEvent::AnswerLost, exchange.idempotent ? "idempotent=true" : "idempotent=false");
    if (exchange.callerGone) {
        return forget(board, exchange.id);
    }
    const auto isPastDeadline =
            board.now.mono >= exchange.deadline; // The transport timed out at the deadline.
    const Refusal lostRefusal { isPastDeadline ? RefusalReason::DeadlineUnmet : RefusalReason::Lost,
                                Verdict::Unknown,
                                exchange.idempotent ? config::retryAfterMin : noRetryAfter };
    if (!exchange.idempotent) {
        return refuse(board, exchange, lostRefusal);
    }
    exchange.earlierAttemptMaybeSent = true;
    exchange.avoidCell = exchange.cell;
    spendRetryOrRefuse(board, exchange, lostRefusal);
}

/// Returns whether placing a request again may succeed after its home refused it with `reason`.
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

/// Converts a home's refusal to one for the caller. Reasons that concern only hosts become
/// `NoHome`. The verdict `NotRun` is kept only if it is true of all attempts.
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
    // No other host can know a key generated here, so a home that cannot tell whether the request
    // ran has not run it.
    const auto isGeneratedKeyUnknown = exchange.hasGeneratedKey
                                       && head.reason == RefusalReason::KeyUnknown
                                       && head.verdict == Verdict::Unknown;
    if (head.verdict == Verdict::NotRun || isGeneratedKeyUnknown) {
        markNotRun(exchange);
    }
    auto refusal = refusalForCaller(exchange, head);
    if (isGeneratedKeyUnknown) {
        refusal = { RefusalReason::NoHome, verdictOf(exchange), config::retryAfterMin };
    }
    const auto mayPlaceElsewhere =
            head.verdict == Verdict::NotRun && isPlacementRefusal(head.reason);
    if (mayPlaceElsewhere || isGeneratedKeyUnknown) {
        return retryPlacement(board, exchange, placementRetryDelay(board, exchange), refusal);
    }
    refuse(board, exchange, refusal);
}

auto onNotRun(Blackboard &board, Exchange &exchange, const AnswerHead &head) -> void
{
    markNotRun(exchange);
    const auto pause =
            std::clamp<Duration>(head.retryAfter, config::retryAfterMin, config::retryAfterMax);
    spendRetryOrRefuse(board, exchange, { RefusalReason::NoUpstream, verdictOf(exchange), pause });
}

/// Returns a token that steers later requests of the flow to the upstream that answered. Empty if
/// the caller already has one for it, if this host did not dispatch the request itself, if the
/// request is not idempotent (its key decides the placement) or if there is no signing key.
auto tokenFor(Blackboard &board, const Exchange &exchange) -> std::string
{
    const auto *key = signingKey(board.table().tokenKeys());
    const auto isUpstreamKnown = exchange.stage == Stage::Dispatched && exchange.upstream.isValid();
    if (key == nullptr || !isUpstreamKnown || !exchange.idempotent || exchange.bound) {
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
    if (exchange.stage == Stage::Dispatched && isDeadlineResponse(head)) {
        return refuse(board, exchange, RefusalReason::DeadlineUnmet, config::retryAfterMin);
    }
    if (exchange.stage == Stage::Dispatched && isNotRunResponse(head)) {
        return onNotRun(board, exchange, head);
    }
    board.addAction(PassAnswer { exchange.id, tokenFor(board, exchange) });
    exchange.stage = Stage::Answering;
}

auto onAnswered(Blackboard &board, Exchange &exchange) -> void
{
    if (exchange.stage != Stage::Answering) {
        return onLost(board, exchange);
    }
    ++board.stats.answered;
    board.retryBudget.recordSuccess();
    forget(board, exchange.id);
}

auto onCut(Blackboard &board, Exchange &exchange) -> void
{
    if (exchange.stage != Stage::Answering) {
        return onLost(board, exchange);
    }
    ++board.stats.cut;
    board.log(LogEvent::AnswerLost, "why=\"answer truncated\"");
    if (!exchange.callerGone) {
        board.addAction(AbortAnswer { exchange.id });
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

/// Cancels the request of a caller that left. A non-idempotent request with the caller's own key
/// that may be running at an upstream continues, so that a repeat of its key gets the answer.
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
    const auto hasCallerKey = !exchange->idempotent && !exchange->hasGeneratedKey;
    if (hasCallerKey && atUpstream) {
        exchange->callerGone = true;
        return;
    }
    ++board.stats.cancelled;
    if (isSent(*exchange)) {
        board.addAction(Cancel { id });
    }
    forget(board, id);
}

/// Ends an exchange whose deadline has passed: cancels it if its caller left, aborts an answer that
/// has begun, and refuses it otherwise.
auto expire(Blackboard &board, Exchange &exchange) -> void
{
    ++board.stats.cancelled;
    if (exchange.callerGone) {
        board.addAction(Cancel { exchange.id });
        return forget(board, exchange.id);
    }
    if (exchange.stage == Stage::Answering) {
        ++board.stats.cut;
        board.addAction(AbortAnswer { exchange.id });
        return forget(board, exchange.id);
    }
    refuse(board, exchange, RefusalReason::DeadlineUnmet, config::retryAfterMin);
}

auto expireOverdue(Blackboard &board) -> void
{
    for (const auto id : board.exchanges.expired(board.now.mono)) {
        if (auto *exchange = board.exchanges.find(id)) {
            expire(board, *exchange);
        }
    }
}

/// Treats idempotent requests relayed to a dead or removed home as lost, so that they are retried.
/// Non-idempotent ones may still get their answer and wait for it until their deadline.
auto retryRelaysToDeadHomes(Blackboard &board) -> void
{
    std::vector<ExchangeId> affected;
    for (const auto &[id, exchange] : board.exchanges.all()) {
        if (exchange.stage != Stage::Relayed || !exchange.idempotent) {
            continue;
        }
        const auto *home = board.membership.find(exchange.home);
        if (home == nullptr || home->state == MemberState::Dead) {
            affected.push_back(id);
        }
    }
    std::sort(affected.begin(), affected.end());
    for (const auto id : affected) {
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
    expireOverdue(board);
    if (this->checkedMembership != board.membership.version()) {
        this->checkedMembership = board.membership.version();
        retryRelaysToDeadHomes(board);
    }
}

} // namespace flamingograde
