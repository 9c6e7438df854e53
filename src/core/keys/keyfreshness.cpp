/// Decides whether a key without a record at its home may have been run by any host.
#include "core/keys/keyfreshness.h"

#include "core/blackboard.h"

#include <algorithm>

namespace flamingograde {

namespace {

/// Returns whether the key cannot have been run before `from`, or any such run is past its
/// lifetime. A key with a birth time must have been made after `from`. For a key without one,
/// `from` and `evictedUntil` must be longer ago than the lifetime of a key.
auto isNewerThan(const Blackboard &board, const Exchange &exchange, WallTime from,
                 WallTime evictedUntil) -> bool
{
    if (exchange.keyCreated.has_value()) {
        return *exchange.keyCreated > from + board.init.clockBound;
    }
    const auto knownSince = std::max(from, evictedUntil);
    return board.now.wall > knownSince + config::keyLifetime + board.init.clockBound;
}

} // namespace

auto isProvablyFresh(const Blackboard &board, const Exchange &exchange) -> bool
{
    const auto known = board.tenure.knownFrom(exchange.cell);
    return known.has_value() && isProvablyFreshGiven(board, exchange, *known);
}

auto isProvablyFreshGiven(const Blackboard &board, const Exchange &exchange, const KnownFrom &known)
        -> bool
{
    const auto placement =
            board.config.placements.find({ exchange.service, exchange.key, exchange.keyCreated,
                                           board.now.wall, known.coveredRevision });
    auto from = std::max(known.since, placement.since);
    if (exchange.keyCreated.has_value()) {
        from = std::max(from, board.keys.forgottenUntil(exchange.cell));
    }
    return isNewerThan(board, exchange, from, board.keys.evictedUntil(exchange.cell));
}

auto knownFromNow(const Blackboard &board, CellId cell, const KnownFrom &known) -> KnownFrom
{
    const auto since = std::max(known.since, board.keys.forgottenUntil(cell));
    const auto &upstreams = board.table().upstreamsOf(cell);
    if (upstreams.empty()) {
        return { PlacementHistory::unknownSince, {} };
    }
    const auto service = board.table().upstreams()[upstreams.front()].service;
    const auto lastMove = board.config.placements.latestMove(service, known.coveredRevision);
    return { std::max(since, lastMove), board.config.revision };
}

} // namespace flamingograde
