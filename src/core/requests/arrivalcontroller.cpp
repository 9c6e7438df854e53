/// Makes exchanges and feeds of arrivals, or refuses them as not run.
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

constexpr Duration noRetry { 0 };

/// Why an arrival is refused.
struct Objection
{
    RefusalReason reason;
    Duration retryAfter;
};

/// Returns why this host takes no arrivals from callers now, or nothing.
auto objectionOfHost(const Blackboard &board) -> std::optional<Objection>
{
    if (board.stop.ready) {
        return Objection { RefusalReason::Stopping, config::retryAfterMin };
    }
    if (!board.config.revision.isValid()) {
        return Objection { RefusalReason::NotReady, config::retryAfterMin };
    }
    return std::nullopt;
}

/// Requests that come on connections from before the listeners closed are still served; feeds are
/// not, as they would have to move at once.
auto objectionOfStop(const Blackboard &board, const Row &row) -> std::optional<Objection>
{
    if (board.stop.closed && row.kind == RequestKind::Feed) {
        return Objection { RefusalReason::Stopping, config::retryAfterMin };
    }
    return std::nullopt;
}

auto objectionOfLoad(const Blackboard &board, const Row &row) -> std::optional<Objection>
{
    const auto isFull = row.kind == RequestKind::Feed
                                ? board.feeds.size() >= board.init.feedsMax
                                : board.exchanges.size() >= board.init.exchangesMax;
    if (isFull) {
        return Objection { RefusalReason::Overloaded, config::retryAfterMin };
    }
    return std::nullopt;
}

auto objectionOfRequest(const Blackboard &board, const Row &row, const CallerArrived &arrived)
        -> std::optional<Objection>
{
    if (arrived.bodyBytes > row.bodyMax) {
        return Objection { RefusalReason::TooLarge, noRetry };
    }
    if (!isWellFormedKey(arrived.key)) {
        return Objection { RefusalReason::BadKey, noRetry };
    }
    const auto birth = keyBirthOf(arrived.key);
    if (birth && *birth > board.now.wall + board.init.clockBound) {
        return Objection { RefusalReason::BadKey, noRetry };
    }
    if (const auto objection = objectionOfStop(board, row)) {
        return objection;
    }
    return objectionOfLoad(board, row);
}

/// Returns why a token is refused. A key that is unknown here may be one that is just published.
auto objectionOfToken(TokenFault fault) -> Objection
{
    const auto mayBecomeKnown = fault == TokenFault::UnknownKey;
    return { RefusalReason::BadToken, mayBecomeKnown ? config::retryAfterMin : noRetry };
}

/// Reads the caller's token for `row`: nothing where none was sent.
auto readToken(const Blackboard &board, const Row &row, const std::string &text)
        -> tl::expected<std::optional<FlowToken>, Objection>
{
    if (text.empty()) {
        return std::nullopt;
    }
    const auto token = verifyToken(text, board.table().tokenKeys());
    if (!token) {
        return tl::unexpected(objectionOfToken(token.error()));
    }
    if (token->service != row.service) {
        return tl::unexpected(objectionOfToken(TokenFault::Forged));
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
    feed.fromToken = token.has_value();
    feed.flow = token ? token->flow : newFlow(board);
    feed.upstream = token ? token->upstream : UpstreamId();
    board.feeds.add(arrived.exchange, feed);
    board.toOpen.push_back(arrived.exchange);
}

/// Returns an exchange of `row` that arrives now.
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

auto giveKey(Blackboard &board, Exchange &exchange, const std::string &key) -> void
{
    exchange.key = key;
    if (!exchange.idempotent && key.empty()) {
        exchange.key = makeUuidV7(board.random, board.now.wall);
        exchange.ownKey = true;
    }
    exchange.keyBirth = keyBirthOf(exchange.key);
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
    giveKey(board, exchange, arrived.key);
    board.exchanges.add(std::move(exchange));
    board.toPlace.push_back(arrived.exchange);
}

auto takeCaller(Blackboard &board, const CallerArrived &arrived) -> void
{
    ++board.stats.callersArrived;
    const auto refuseFor = [&](const Objection &objection) {
        refuseUnrun(board, arrived.exchange, objection.reason, objection.retryAfter);
    };
    if (const auto objection = objectionOfHost(board)) {
        return refuseFor(*objection);
    }
    const auto *row = board.table().rowAt(arrived.address);
    if (row == nullptr) {
        return refuseFor({ RefusalReason::UnknownService, noRetry });
    }
    const auto token = readToken(board, *row, arrived.token);
    if (!token) {
        return refuseFor(token.error());
    }
    if (const auto objection = objectionOfRequest(board, *row, arrived)) {
        return refuseFor(*objection);
    }
    if (row->kind == RequestKind::Feed) {
        return addFeed(board, arrived, *row, *token);
    }
    addExchange(board, arrived, *row, *token);
}

/// Returns the time that a relayed request is given here; a little less than its sender gives it,
/// so that what this home says of the deadline comes back in time.
auto timeAtHome(Duration remaining) -> Duration
{
    return remaining - std::min<Duration>(config::relayMargin, remaining / 4);
}

/// Returns whether the sender's view of the request fits this host's table.
auto fitsTable(const Blackboard &board, const RelayArrived &arrived, const Row *row) -> bool
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

/// Returns whether the key of a relayed request belongs to this host's zone.
auto isKeyOfZone(const Blackboard &board, const RelayArrived &arrived, const Row &row) -> bool
{
    if (row.idempotent) {
        return true;
    }
    const auto birth = keyBirthOf(arrived.key);
    return placementOfKey(board, row.service, arrived.key, birth).zone == board.init.self.zone;
}

auto takeRelay(Blackboard &board, const RelayArrived &arrived) -> void
{
    ++board.stats.relaysArrived;
    const auto refuseFor = [&](RefusalReason reason) {
        refuseUnrun(board, arrived.exchange, reason, config::retryAfterMin);
    };
    if (!board.config.revision.isValid()) {
        return refuseFor(RefusalReason::NotReady);
    }
    const auto *row = board.table().row(arrived.row);
    if (!fitsTable(board, arrived, row)) {
        return refuseFor(RefusalReason::OldTable);
    }
    if (!isKeyOfZone(board, arrived, *row)) {
        return refuseFor(RefusalReason::WrongHome);
    }
    if (objectionOfLoad(board, *row)) {
        return refuseFor(RefusalReason::Overloaded);
    }
    if (arrived.remaining <= Duration::zero()) {
        return refuseFor(RefusalReason::DeadlineUnmet);
    }
    auto exchange = newExchange(board, arrived.exchange, *row, timeAtHome(arrived.remaining));
    exchange.origin = Origin::Relay;
    exchange.from = arrived.from;
    exchange.bodyBytes = arrived.bodyBytes;
    exchange.upstream = arrived.upstream;
    exchange.bound = arrived.upstream.isValid();
    exchange.key = arrived.key;
    exchange.keyBirth = keyBirthOf(arrived.key);
    board.exchanges.add(std::move(exchange));
    board.toPlace.push_back(arrived.exchange);
}

} // namespace

auto ArrivalController::handle(Blackboard &board, const Event &event) -> void
{
    if (const auto *caller = std::get_if<CallerArrived>(&event)) {
        takeCaller(board, *caller);
    } else if (const auto *relay = std::get_if<RelayArrived>(&event)) {
        takeRelay(board, *relay);
    }
}

} // namespace flamingograde
