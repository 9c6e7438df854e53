/// How long a waiting request will wait.
#pragma once

#include "core/placement/upstreamchoice.h"

#include <flamingograde/clock.h>

#include <cstddef>
#include <vector>

namespace flamingograde {

struct Cell;
struct RowQueue;

/// Returns how long a request with `ahead` others of its row before it will wait for a slot, by the
/// weights of the rows that wait and the measured service times, if nothing new comes.
/// @param offers what the cell's upstreams offer now.
[[nodiscard]] auto expectedWait(const Cell &cell, const RowQueue &row, std::size_t ahead,
                                const std::vector<SlotOffer> &offers, MonoTime now) -> Duration;

/// Returns how long it takes until the row's queue has room for one more.
[[nodiscard]] auto expectedRoom(const Cell &cell, const RowQueue &row,
                                const std::vector<SlotOffer> &offers, MonoTime now) -> Duration;

} // namespace flamingograde
