/// Creates exchanges and feeds for arriving requests, or refuses the requests as not run.
#include "core/requests/arrivalcontroller.h"

#include "core/blackboard.h"
#include "core/keys/idempotencykey.h"
#include "core/placement/placement.h"
#include "core/requests/refuse.h"
#include "core/requests/token.h"

#include <algorithm>
#include <optional>

namespace flamingograde {

namespace {

constexpr Duration noRetryAfter { 0 };

/// Reason for refusing an arriving request, and the Retry-After to send with it.
struct Rejection
{
    RefusalReason reason;
    Duration retryAfter;
};

/// Returns why this host accepts no requests from callers now: its stop is complete or it has no
/// table yet. Returns nothing if it accepts them.
auto checkHostState(const Blackboard &board) -> std::optional<Rejection>
{
    if (board.stop.ready) {
        return Rejection { RefusalReason::Stopping, config::retryAfterMin };
    }
    if (!board.config.revision.isValid()) {
        return Rejection { RefusalReason::NotReady, config::retryAfterMin };
    }
    return std::nullopt;
}

/// Rejects feeds once the listeners are closed, because a new feed would have to move to another
/// host at once. Requests that arrive on connections accepted before that are still served.
auto checkStopState(const Blackboard &board, const Row &row) -> std::optional<Rejection>
{
    if (board.stop.listenersClosed && row.kind == RequestKind::Feed) {
        return Rejection { RefusalReason::Stopping, config::retryAfterMin };
    }
    return std::nullopt;
}

auto checkCapacity(const Blackboard &board, const Row &row) -> std::optional<Rejection>
{
    const auto isFull = row.kind == RequestKind::Feed
                                ? board.feeds.size() >= board.init.feedsMax
                                : board.exchanges.size() >= board.init.exchangesMax;
    if (isFull) {
        return Rejection { RefusalReason::Overloaded, config::retryAfterMin };
    }
    return std::nullopt;
}

auto checkRequest(const Blackboard &board, const Row &row, const CallerArrived &arrived)
        -> std::optional<Rejection>
{
    if (arrived.bodyBytes > row.bodyMax) {
        return Rejection { RefusalReason::TooLarge, noRetryAfter };
    }
    if (!isWellFormedKey(arrived.key)) {
        return Rejection { RefusalReason::BadKey, noRetryAfter };
    }
    const auto birth = keyCreationTime(arrived.key);
    if (birth && *birth > board.now.wall + board.init.clockBound) {
        return Rejection { RefusalReason::BadKey, noRetryAfter };
    }
    if (const auto rejection = checkStopState(board, row)) {
        return rejection;
    }
    return checkCapacity(board, row);
}

/// Returns the rejection for an invalid token. An unknown key is worth a retry, because a table
/// with that key may have been published without having reached this host yet.
auto rejectionForToken(TokenFault fault) -> Rejection
{
    const auto mayBePublishedSoon = fault == TokenFault::UnknownKey;
    return { RefusalReason::BadToken, mayBePublishedSoon ? config::retryAfterMin : noRetryAfter };
}

/// Verifies the caller's token for `row`. Returns nothing if no token was sent.
auto readToken(const Blackboard &board, const Row &row, const std::string &text)
        -> tl::expected<std::optional<FlowToken>, Rejection>
{
    if (text.empty()) {
        return std::nullopt;
    }
    const auto token = verifyToken(text, board.table().tokenKeys());
    if (!token) {
        return tl::unexpected(rejectionForToken(token.error()));
    }
    if (token->service != row.service) {
        return tl::unexpected(rejectionForToken(TokenFault::Forged));
    }
    return *token;
}

auto newFlow(Blackboard &board) -> FlowId
{
    return FlowId(std::max<std::uint64_t>(board.random(), 1));
}

auto addFeed(Blackboard &board, const CallerArrived &arrived, const Row &row,
             const std::optional<FlowToken> &token) -> void
{
    Feed feed;
    feed.row = row.id;
    feed.upstreamFromToken = token.has_value();
    feed.flow = token ? token->flow : newFlow(board);
    feed.upstream = token ? token->upstream : UpstreamId();
    board.feeds.add(arrived.exchange, feed);
    board.toOpen.push_back(arrived.exchange);
}

/// Returns an exchange of `row` that arrives now. Its deadline is `timeout` from now, at most the
/// deadline of the row; a `timeout` of 0 stands for the deadline of the row.
auto newExchange(const Blackboard &board, ExchangeId id, const Row &row, Duration timeout)
        -> Exchange
{
    Exchange exchange;
    exchange.id = id;
    exchange.row = row.id;
    exchange.rowAddress = row.address;
    exchange.service = row.service;
    exchange.idempotent = row.idempotent;
    exchange.arrived = board.now.mono;
    exchange.deadline =
            board.now.mono
            + (timeout > Duration::zero() ? std::min(timeout, row.deadline) : row.deadline);
    return exchange;
}

auto assignKey(Blackboard &board, Exchange &exchange, const std::string &key) -> void
{
    exchange.key = key;
    if (!exchange.idempotent && key.empty()) {
        exchange.key = makeUuidV7(board.random, board.now.wall);
        exchange.hasGeneratedKey = true;
    }
    exchange.keyCreated = keyCreationTime(exchange.key);
}

auto addExchange(Blackboard &board, const CallerArrived &arrived, const Row &row,
                 const std::optional<FlowToken> &token) -> void
{
    auto exchange = newExchange(board, arrived.exchange, row, arrived.timeout);
    exchange.bodyBytes = arrived.bodyBytes;
    exchange.flow = token ? token->flow : newFlow(board);
    if (token && row.idempotent) {
        exchange.upstream = token->upstream;
    }
    assignKey(board, exchange, arrived.key);
    board.exchanges.add(std::move(exchange));
    board.toPlace.push_back(arrived.exchange);
}

auto onCallerArrived(Blackboard &board, const CallerArrived &arrived) -> void
{
    ++board.stats.callersArrived;
    const auto refuseWith = [&](const Rejection &rejection) {
        refuseNotRun(board, arrived.exchange, rejection.reason, rejection.retryAfter);
    };
    if (const auto rejection = checkHostState(board)) {
        return refuseWith(*rejection);
    }
    const auto *row = board.table().rowAt(arrived.address);
    if (row == nullptr) {
        return refuseWith({ RefusalReason::UnknownService, noRetryAfter });
    }
    const auto token = readToken(board, *row, arrived.token);
    if (!token) {
        return refuseWith(token.error());
    }
    if (const auto rejection = checkRequest(board, *row, arrived)) {
        return refuseWith(*rejection);
    }
    if (row->kind == RequestKind::Feed) {
        return addFeed(board, arrived, *row, *token);
    }
    addExchange(board, arrived, *row, *token);
}

/// Returns the timeout of a relayed request at this host. It is slightly shorter than the time
/// remaining at the sender, so that this host's refusal for a missed deadline reaches the sender
/// before the sender itself times out.
auto homeTimeout(Duration remaining) -> Duration
{
    return remaining - std::min<Duration>(config::relayMargin, remaining / 4);
}

/// Returns whether a relayed request agrees with this host's table. Otherwise the sender used
/// another table revision.
auto matchesTable(const Blackboard &board, const RelayArrived &arrived, const Row *row) -> bool
{
    const auto &table = board.table();
    const auto zone = board.init.self.zone;
    if (row == nullptr || row->address != arrived.address || row->kind == RequestKind::Feed) {
        return false;
    }
    if (arrived.upstream.isValid()) {
        const auto *upstream = table.upstream(arrived.upstream);
        if (upstream == nullptr || upstream->cell() != cellOf(row->service, zone)) {
            return false;
        }
    }
    return row->idempotent || !arrived.key.empty();
}

/// Returns whether the key of a relayed request is placed in this host's zone. Always true for
/// idempotent requests, which are not placed by key.
auto isKeyPlacedInOwnZone(const Blackboard &board, const RelayArrived &arrived, const Row &row)
        -> bool
{
    if (row.idempotent) {
        return true;
    }
    const auto birth = keyCreationTime(arrived.key);
    return placementOfKey(board, row.service, arrived.key, birth).zone == board.init.self.zone;
}

auto onRelayArrived(Blackboard &board, const RelayArrived &arrived) -> void
{
    ++board.stats.relaysArrived;
    const auto refuseWith = [&](RefusalReason reason) {
        refuseNotRun(board, arrived.exchange, reason, config::retryAfterMin);
    };
    if (!board.config.revision.isValid()) {
        return refuseWith(RefusalReason::NotReady);
    }
    const auto *row = board.table().row(arrived.row);
    if (!matchesTable(board, arrived, row)) {
        return refuseWith(RefusalReason::OldTable);
    }
    if (!isKeyPlacedInOwnZone(board, arrived, *row)) {
        return refuseWith(RefusalReason::WrongHome);
    }
    if (checkCapacity(board, *row)) {
        return refuseWith(RefusalReason::Overloaded);
    }
    if (arrived.remaining <= Duration::zero()) {
        return refuseWith(RefusalReason::DeadlineUnmet);
    }
    auto exchange = newExchange(board, arrived.exchange, *row, homeTimeout(arrived.remaining));
    exchange.origin = Origin::Relay;
    exchange.from = arrived.from;
    exchange.bodyBytes = arrived.bodyBytes;
    exchange.upstream = arrived.upstream;
    exchange.bound = arrived.upstream.isValid();
    exchange.key = arrived.key;
    exchange.keyCreated = keyCreationTime(arrived.key);
    board.exchanges.add(std::move(exchange));
    board.toPlace.push_back(arrived.exchange);
}

} // namespace

auto ArrivalController::handle(Blackboard &board, const Event &event) -> void
{
    if (const auto *caller = std::get_if<CallerArrived>(&event)) {
        onCallerArrived(board, *caller);
    } else if (const auto *relay = std::get_if<RelayArrived>(&event)) {
        onRelayArrived(board, *relay);
    }
}

} // namespace flamingograde
