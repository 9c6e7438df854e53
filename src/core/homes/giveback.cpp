/// What becomes of a request at a host that is not, or no longer, its cell's home.
#include "core/homes/giveback.h"

#include "core/blackboard.h"
#include "core/requests/refuse.h"

namespace flamingograde {

auto giveBack(Blackboard &board, Exchange &exchange) -> void
{
    exchange.maybeSent = exchange.sentBefore;
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
