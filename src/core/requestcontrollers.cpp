/// Runs the controllers of HTTP rows.
#include "core/requestcontrollers.h"

#include "core/blackboard.h"

namespace flamingograde {

namespace {

/// Most rounds of settling in one event; what is left then waits for the next event.
constexpr int settleRounds = 8;

auto isSettled(const Blackboard &board) -> bool
{
    return board.toPlace.empty() && board.toAdmit.empty() && board.toQueue.empty();
}

} // namespace

auto RequestControllers::configure(Blackboard &board, const Event &event) -> void
{
    this->config.handle(board, event);
}

auto RequestControllers::claim(Blackboard &board, const Event &event) -> void
{
    this->tenure.handle(board, event);
}

auto RequestControllers::serve(Blackboard &board, const Event &event) -> void
{
    this->upstream.handle(board, event);
    this->outcome.handle(board, event);
    this->arrival.handle(board, event);
    this->feed.handle(board, event);
    this->steering.handle(board, event);
    this->key.handle(board, event);
    this->admission.handle(board, event);
    this->settle(board);
}

auto RequestControllers::settle(Blackboard &board) -> void
{
    for (int round = 0; round < settleRounds; ++round) {
        this->steering.settle(board);
        this->key.settle(board);
        this->admission.settle(board);
        if (isSettled(board)) {
            return;
        }
    }
}

} // namespace flamingograde
