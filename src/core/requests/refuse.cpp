/// Refusal and removal of exchanges and feeds.
#include "core/requests/refuse.h"

#include "core/blackboard.h"

namespace flamingograde {

namespace {

auto logEventOf(RefusalReason reason) -> LogEvent
{
    switch (reason) {
    case RefusalReason::UnknownService:
        return LogEvent::ServiceUnknown;
    case RefusalReason::BadToken:
    case RefusalReason::StaleToken:
        return LogEvent::TokenRefused;
    case RefusalReason::TooLarge:
        return LogEvent::BodyTooLarge;
    default:
        return LogEvent::RequestRefused;
    }
}

auto sendRefusal(Blackboard &board, ExchangeId exchange, const Refusal &refusal) -> void
{
    ++board.stats.refused.at(static_cast<std::size_t>(refusal.reason));
    board.log(logEventOf(refusal.reason),
              std::string(toString(refusal.reason)) + ' ' + std::string(toString(refusal.verdict)));
    board.addAction(Refuse { exchange, refusal });
}

} // namespace

auto verdictOf(const Exchange &exchange) -> Verdict
{
    const auto waitsForSameKey =
            exchange.stage == Stage::Attached || exchange.stage == Stage::Looking;
    const auto maybeSent = exchange.maybeSent || exchange.earlierAttemptMaybeSent;
    return maybeSent || waitsForSameKey ? Verdict::Unknown : Verdict::NotRun;
}

auto refuse(Blackboard &board, Exchange &exchange, RefusalReason reason, Duration retryAfter)
        -> void
{
    refuse(board, exchange, Refusal { reason, verdictOf(exchange), retryAfter });
}

auto refuse(Blackboard &board, Exchange &exchange, const Refusal &refusal) -> void
{
    const auto id = exchange.id;
    sendRefusal(board, id, refusal);
    forget(board, id);
}

auto refuseNotRun(Blackboard &board, ExchangeId exchange, RefusalReason reason, Duration retryAfter)
        -> void
{
    sendRefusal(board, exchange, Refusal { reason, Verdict::NotRun, retryAfter });
    forget(board, exchange);
}

auto forget(Blackboard &board, ExchangeId exchange) -> void
{
    board.cells.remove(exchange);
    board.keys.remove(exchange);
    board.feeds.erase(exchange);
    board.exchanges.erase(exchange);
}

} // namespace flamingograde
