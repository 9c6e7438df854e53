/// Places exchanges by the strategy in force.
#include "core/placement/steeringcontroller.h"

#include "core/blackboard.h"
#include "core/keys/idempotencykey.h"
#include "core/overloaded.h"
#include "core/requests/dispatch.h"
#include "core/requests/refuse.h"

#include <algorithm>

namespace flamingograde {

namespace {

auto admitHere(Blackboard &board, Exchange &exchange, CellId cell) -> void
{
    exchange.cell = cell;
    exchange.home = board.init.self.id;
    exchange.stage = Stage::Admitting;
    ++exchange.attempt;
    board.toAdmit.push_back(exchange.id);
}

/// Puts the zone's name before a key made here, so that the home finds its own zone in it.
auto placeOwnKey(const Blackboard &board, Exchange &exchange, CellId cell) -> void
{
    if (!exchange.ownKey) {
        return;
    }
    const auto zoneName = zoneNameOf(board, cell);
    if (!zoneName.empty()) {
        exchange.key = keyInZone(zoneName, exchange.key);
    }
}

auto relay(Blackboard &board, Exchange &exchange, const Row &row, const PlaceAt &place) -> void
{
    const auto *member = board.membership.find(place.home);
    if (member == nullptr) {
        return refuse(board, exchange, RefusalReason::NoHome, config::retryAfterMin);
    }
    exchange.cell = place.cell;
    exchange.home = place.home;
    exchange.stage = Stage::Relayed;
    exchange.maybeSent = true;
    ++exchange.attempt;
    ++board.stats.relayed;
    Relay action;
    action.exchange = exchange.id;
    action.attempt = exchange.attempt;
    action.host = place.home;
    action.address = member->relay;
    action.row = row.id;
    action.rowName = row.name;
    action.rowAddress = row.address;
    action.upstream = exchange.bound ? exchange.upstream : UpstreamId();
    action.key = exchange.key;
    action.remaining = exchange.deadline - board.now.mono;
    board.act(std::move(action));
}

/// Sends the exchange to an upstream without a home, for a baseline.
auto dispatchDirect(Blackboard &board, Exchange &exchange, const Row &row, UpstreamId upstream)
        -> void
{
    const auto *entry = board.table().upstream(upstream);
    exchange.upstream = upstream;
    exchange.cell = entry->cell();
    exchange.home = board.init.self.id;
    exchange.stage = Stage::Dispatched;
    exchange.maybeSent = true;
    ++exchange.attempt;
    ++board.stats.dispatched;
    board.act(dispatchOf(board, exchange, row.name, *entry));
}

/// Has the exchange wait for a pause, or refuses it after too many placements.
auto waitOrRefuse(Blackboard &board, Exchange &exchange, const PlaceNowhere &nowhere) -> void
{
    ++exchange.attempt;
    const auto pause =
            config::placeRetryMin * (1U << std::min<std::uint32_t>(exchange.attempt, 4U)) / 2;
    const auto again = board.now.mono + pause;
    if (!nowhere.mayChange || exchange.attempt >= config::relayAttempts
        || again >= exchange.deadline) {
        return refuse(board, exchange, nowhere.reason, config::retryAfterMin);
    }
    board.exchanges.placeLater(exchange.id, again);
}

/// Places what another host relayed to this one: here, while it is the home.
auto placeRelayed(Blackboard &board, Exchange &exchange) -> void
{
    const auto cell = cellOf(exchange.service, board.init.self.zone);
    if (!board.tenure.since(cell) && !board.tenure.isClaiming(cell)) {
        return refuse(board, exchange, RefusalReason::WrongHome, config::retryAfterMin);
    }
    admitHere(board, exchange, cell);
}

auto placeOne(Blackboard &board, const Placement &placement, Exchange &exchange) -> void
{
    exchange.stage = Stage::Placing;
    if (exchange.origin == Origin::Relay) {
        return placeRelayed(board, exchange);
    }
    const auto *row = board.table().row(exchange.row);
    if (row == nullptr || row->service != exchange.service) {
        return refuse(board, exchange, RefusalReason::UnknownService, config::retryAfterMin);
    }
    const auto placed = std::visit(
            [&](const auto &strategy) { return strategy.place(board, exchange); }, placement);
    std::visit(Overloaded {
                       [&](const PlaceHere &here) {
                           placeOwnKey(board, exchange, here.cell);
                           admitHere(board, exchange, here.cell);
                       },
                       [&](const PlaceAt &at) {
                           placeOwnKey(board, exchange, at.cell);
                           relay(board, exchange, *row, at);
                       },
                       [&](const PlaceNowhere &nowhere) { waitOrRefuse(board, exchange, nowhere); },
                       [&](const PlaceDirect &direct) {
                           dispatchDirect(board, exchange, *row, direct.upstream);
                       },
               },
               placed);
}

auto placementOf(Policy policy) -> Placement
{
    switch (policy) {
    case Policy::CellHome:
        return CellHomePlacement {};
    case Policy::UpstreamHome:
        return UpstreamHomePlacement {};
    case Policy::LocalLeastLoaded:
        return LeastLoadedPlacement {};
    case Policy::TwoChoices:
        return TwoChoicesPlacement {};
    case Policy::StaticHash:
        break;
    }
    return StaticHashPlacement {};
}

} // namespace

SteeringController::SteeringController(Policy policy) : placement(placementOf(policy)) {}

auto SteeringController::handle(Blackboard &board, const Event &) -> void
{
    for (const auto id : board.exchanges.takeToPlace(board.now.mono)) {
        board.toPlace.push_back(id);
    }
}

auto SteeringController::settle(Blackboard &board) -> void
{
    const auto ids = std::exchange(board.toPlace, {});
    for (const auto id : ids) {
        if (auto *exchange = board.exchanges.find(id)) {
            placeOne(board, this->placement, *exchange);
        }
    }
}

} // namespace flamingograde
