/// Sends waiting requests of a cell to its upstreams.
#pragma once

namespace flamingograde {

class Blackboard;
struct Cell;

/// Dispatches the waiting requests of `cell` in weighted fair order while slots are free, and
/// refuses those whose deadline has passed or can no longer be met.
/// Precondition: this host is home of `cell`.
auto dispatchWaiting(Blackboard &board, Cell &cell) -> void;

} // namespace flamingograde
