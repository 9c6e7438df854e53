/// Dispatch of a cell's queued requests to its upstreams.
#pragma once

#include <flamingograde/action.h>

#include <string>

namespace flamingograde {

class Blackboard;
struct Cell;
struct Exchange;
struct Upstream;

/// Returns the action that sends `exchange` to `upstream`; its remaining time counts from now.
[[nodiscard]] auto dispatchOf(const Blackboard &board, const Exchange &exchange,
                              const std::string &rowName, const Upstream &upstream) -> Dispatch;

/// Dispatches the queued requests of `cell` in weighted fair order while slots are free. Refuses a
/// request whose turn comes after its deadline or too late to meet it.
/// Precondition: this host is the home of `cell`.
auto dispatchWaiting(Blackboard &board, Cell &cell) -> void;

} // namespace flamingograde
