/// Runs the controllers of HTTP rows in their order.
#include "core/requestcontrollers.h"

#include "core/blackboard.h"

namespace flamingograde {

namespace {

/// Most rounds per event in which exchanges are passed between controllers. Exchanges that are left
/// after the last round wait for the next event.
constexpr int settleRoundsMax = 8;

auto isSettled(const Blackboard &board) -> bool
{
    return board.toPlace.empty() && board.toAdmit.empty() && board.toQueue.empty();
}

} // namespace

auto RequestControllers::handleConfiguration(Blackboard &board, const Event &event) -> void
{
    this->config.handle(board, event);
}

auto RequestControllers::handleTenure(Blackboard &board, const Event &event) -> void
{
    this->tenure.handle(board, event);
}

auto RequestControllers::handleRequests(Blackboard &board, const Event &event) -> void
{
    this->upstream.handle(board, event);
    this->outcome.handle(board, event);
    this->arrival.handle(board, event);
    this->feed.handle(board, event);
    this->steering.handle(board, event);
    this->key.handle(board, event);
    this->admission.handle(board, event);
    this->settleAll(board);
}

auto RequestControllers::settleAll(Blackboard &board) -> void
{
    for (int round = 0; round < settleRoundsMax; ++round) {
        this->steering.settle(board);
        this->key.settle(board);
        this->admission.settle(board);
        if (isSettled(board)) {
            return;
        }
    }
}

} // namespace flamingograde
