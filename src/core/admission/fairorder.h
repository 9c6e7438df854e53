/// Order in which the rows of a cell are served: weighted start-time fair queueing.
#pragma once

#include <flamingograde/clock.h>

#include <vector>

namespace flamingograde {

struct Cell;
struct RowQueue;

/// Returns the row to be served next.
///
/// Each row has a start tag in virtual time, which each of its requests advances by its slot time
/// divided by the row's weight. A row is eligible if its start tag is lower than the lowest finish
/// tag (start tag plus the cost of one request) of all ready rows, or is the lowest start tag.
/// Among eligible rows the most urgent is served first, then the one with the lowest start tag.
/// Urgency therefore decides the order within a round; weight decides each row's share in the long
/// term.
/// @param ready the rows of `cell` that have a request which can be dispatched now. Precondition:
/// not empty.
/// @remarks Advances the virtual time of `cell`.
[[nodiscard]] auto nextRow(Cell &cell, const std::vector<RowQueue *> &ready) -> RowQueue *;

/// Advances the row's start tag by the expected slot time of one request.
/// @returns the slot time charged, to be passed to `correctCharge`.
auto chargeRow(RowQueue &row) -> Duration;

/// Corrects the row's start tag by the difference between the slot time used and the one charged.
auto correctCharge(RowQueue &row, Duration charged, Duration used) -> void;

} // namespace flamingograde
