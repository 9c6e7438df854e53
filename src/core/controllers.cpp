/// Runs the controllers.
#include "core/controllers.h"

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

auto Controllers::run(Blackboard &board, const Event &event) -> void
{
    this->config.handle(board, event);
    this->membership.handle(board, event);
    this->tenure.handle(board, event);
    this->stop.handle(board, event);
    this->upstream.handle(board, event);
    this->outcome.handle(board, event);
    this->arrival.handle(board, event);
    this->feed.handle(board, event);
    this->steering.handle(board, event);
    this->key.handle(board, event);
    this->admission.handle(board, event);
    this->settle(board);
}

auto Controllers::settle(Blackboard &board) -> void
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
