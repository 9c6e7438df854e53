/// Hands back a request on a host that is not, or no longer, the home of its cell.
#include "core/homes/returntoplacement.h"

#include "core/blackboard.h"
#include "core/requests/refuse.h"

namespace flamingograde {

auto returnToPlacement(Blackboard &board, Exchange &exchange) -> void
{
    exchange.maybeSent = exchange.earlierAttemptMaybeSent;
    if (exchange.origin == Origin::Relay) {
        exchange.stage = Stage::Admitting;
        refuse(board, exchange, RefusalReason::WrongHome, config::retryAfterMin);
        return;
    }
    board.cells.remove(exchange.id);
    board.keys.remove(exchange.id);
    exchange.stage = Stage::Placing;
    board.toPlace.push_back(exchange.id);
}

} // namespace flamingograde
