/// Whether a deadline can be met, as far as measured times tell.
#pragma once

#include <flamingograde/clock.h>

#include <optional>

namespace flamingograde {

class Blackboard;
struct Cell;
struct Exchange;
struct RowQueue;

/// Returns how long `exchange`, the newest of `row`, needs until its answer; nothing where too
/// little was measured.
[[nodiscard]] auto timeNeeded(Blackboard &board, const Cell &cell, const RowQueue &row,
                              const Exchange &exchange) -> std::optional<Duration>;

} // namespace flamingograde
