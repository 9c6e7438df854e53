/// Whether a key that a home has not seen can have been run by anyone.
#include "core/keyfreshness.h"

#include "core/blackboard.h"
#include "core/placement.h"

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
    const auto tenure = board.tenure.since(exchange.cell);
    return tenure.has_value() && isProvedBy(board, exchange, *tenure);
}

auto isProvedBy(const Blackboard &board, const Exchange &exchange, WallTime toldSince) -> bool
{
    const auto placed = placementOfKey(board, exchange.service, exchange.key, exchange.keyBirth);
    auto from = std::max(toldSince, placed.since);
    if (exchange.keyBirth.has_value()) {
        from = std::max(from, board.keys.forgottenUntil(exchange.cell));
    }
    return isNewerThan(board, exchange, from, board.keys.evictedUntil(exchange.cell));
}

} // namespace flamingograde
