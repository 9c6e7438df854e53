/// Sends waiting requests of a cell to its upstreams.
#pragma once

#include <flamingograde/action.h>

#include <string>

namespace flamingograde {

class Blackboard;
struct Cell;
struct Exchange;
struct Upstream;

/// Returns the action that sends `exchange` to `upstream` now.
[[nodiscard]] auto dispatchOf(const Blackboard &board, const Exchange &exchange,
                              const std::string &rowName, const Upstream &upstream) -> Dispatch;

/// Dispatches the waiting requests of `cell` in weighted fair order while slots are free, and
/// refuses those whose deadline has passed or can no longer be met.
/// Precondition: this host is home of `cell`.
auto dispatchWaiting(Blackboard &board, Cell &cell) -> void;

} // namespace flamingograde
