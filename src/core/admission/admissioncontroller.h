/// Admission control for the cells whose home is this host.
#pragma once

#include <flamingograde/event.h>
#include <flamingograde/ids.h>

namespace flamingograde {

class Blackboard;
struct Cell;
struct Exchange;
struct RowQueue;
struct Row;

/// Queues requests, dispatches them to upstreams in weighted fair order, and refuses a request on
/// arrival if it cannot be answered before its deadline.
/// @remarks Not thread safe.
class AdmissionController
{
public:
    /// Frees the slot of a request that ended; on each `Tick`, recounts the slots of all cells.
    auto handle(Blackboard &board, const Event &event) -> void;

    /// Queues the requests listed in `board.toQueue` and dispatches as many waiting requests as
    /// there are free slots.
    auto settle(Blackboard &board) -> void;

private:
    auto onProgress(Blackboard &board, const ExchangeProgress &event) -> void;
    auto settleEnded(Blackboard &board) -> void;
    auto admit(Blackboard &board, Exchange &exchange) -> void;
    auto enqueueRequest(Blackboard &board, Exchange &exchange, const Row &row) -> void;
    auto settleCell(Blackboard &board, Cell &cell) -> void;
};

} // namespace flamingograde
