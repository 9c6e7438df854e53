/// Admits requests to the slots of the cells that this host is home of.
#pragma once

#include <flamingograde/event.h>
#include <flamingograde/ids.h>

namespace flamingograde {

class Blackboard;
struct Cell;
struct Exchange;
struct RowQueue;
struct Row;

/// Queues requests, dispatches them in weighted fair order, and refuses at once what cannot be
/// served in time.
/// @remarks Not thread safe.
class AdmissionController
{
public:
    /// Frees the slot of a request that ended.
    auto handle(Blackboard &board, const Event &event) -> void;

    /// Queues what is in `board.toQueue` and dispatches what finds a slot.
    auto settle(Blackboard &board) -> void;

private:
    auto onProgress(Blackboard &board, const ExchangeProgress &event) -> void;
    auto settleEnded(Blackboard &board) -> void;
    auto admit(Blackboard &board, Exchange &exchange) -> void;
    auto queueUp(Blackboard &board, Exchange &exchange, const Row &row) -> void;
    auto settleCell(Blackboard &board, Cell &cell) -> void;
};

} // namespace flamingograde
