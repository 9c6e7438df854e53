/// Estimate of the time until a queued request is answered, to check it against the deadline.
#pragma once

#include <flamingograde/clock.h>

#include <optional>

namespace flamingograde {

class Blackboard;
struct Cell;
struct Exchange;
struct RowQueue;

/// Returns the expected time until `exchange`, the newest request of `row`, is answered; nothing
/// without a fresh service time estimate. If no upstream offers a slot, returns the time until the
/// first upstream offers one again.
[[nodiscard]] auto timeNeeded(Blackboard &board, const Cell &cell, const RowQueue &row,
                              const Exchange &exchange) -> std::optional<Duration>;

} // namespace flamingograde
