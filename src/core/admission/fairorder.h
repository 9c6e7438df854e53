/// The order in which the rows of a cell are served: start-time fair queueing by weight.
#pragma once

#include <flamingograde/clock.h>

#include <vector>

namespace flamingograde {

struct Cell;
struct RowQueue;

/// Returns the row to be served next.
///
/// Each row has a start tag in virtual time, raised by slot time over weight with each request. A
/// row is eligible while its tag lies before the earliest time at which any ready row's turn would
/// be over; among the eligible ones the most urgent goes first, then the one with the lowest tag.
/// So urgency decides within a round, weight decides over time.
/// @param ready the rows of `cell` with a request that could be dispatched now. Precondition: not
/// empty.
[[nodiscard]] auto nextRow(Cell &cell, const std::vector<RowQueue *> &ready) -> RowQueue *;

/// Raises the row's start tag by its expected slot time.
/// @returns the slot time charged.
auto chargeRow(RowQueue &row) -> Duration;

/// Corrects the row's start tag once the slot time is known.
auto correctCharge(RowQueue &row, Duration charged, Duration used) -> void;

} // namespace flamingograde
