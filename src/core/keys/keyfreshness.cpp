/// Whether a key that a home has not seen can have been run by anyone.
#include "core/keys/keyfreshness.h"

#include "core/blackboard.h"

#include <algorithm>

namespace flamingograde {

namespace {

/// Returns whether the key is newer than `from`, the time before which it may have been run.
auto isNewerThan(const Blackboard &board, const Exchange &exchange, WallTime from,
                 WallTime evictedUntil) -> bool
{
    if (exchange.keyBirth.has_value()) {
        return *exchange.keyBirth > from + board.init.clockBound;
    }
    const auto knownSince = std::max(from, evictedUntil);
    return board.now.wall > knownSince + config::keyLifetime + board.init.clockBound;
}

} // namespace

auto isProvablyFresh(const Blackboard &board, const Exchange &exchange) -> bool
{
    const auto known = board.tenure.knownFrom(exchange.cell);
    return known.has_value() && isProvedBy(board, exchange, *known);
}

auto isProvedBy(const Blackboard &board, const Exchange &exchange, const KnownFrom &told) -> bool
{
    const auto placed = board.config.placements.find(
            { exchange.service, exchange.key, exchange.keyBirth, board.now.wall, told.tables });
    auto from = std::max(told.since, placed.since);
    if (exchange.keyBirth.has_value()) {
        from = std::max(from, board.keys.forgottenUntil(exchange.cell));
    }
    return isNewerThan(board, exchange, from, board.keys.evictedUntil(exchange.cell));
}

auto knownFromNow(const Blackboard &board, CellId cell, const KnownFrom &known) -> KnownFrom
{
    const auto since = std::max(known.since, board.keys.forgottenUntil(cell));
    const auto &upstreams = board.table().upstreamsOf(cell);
    if (upstreams.empty()) {
        return { PlacementHistory::never, {} };
    }
    const auto service = board.table().upstreams()[upstreams.front()].service;
    const auto placed = board.config.placements.movedSince(service, known.tables);
    return { std::max(since, placed), board.config.revision };
}

} // namespace flamingograde
