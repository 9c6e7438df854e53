/// Estimate of the time that a queued request waits for a slot.
#pragma once

#include "core/placement/upstreamchoice.h"

#include <flamingograde/clock.h>

#include <cstddef>
#include <vector>

namespace flamingograde {

struct Cell;
struct RowQueue;

/// Returns how long a request of `row` waits for a slot if no further requests arrive, estimated
/// from the weights, queues and mean service times of the cell's rows.
/// @param ahead the number of requests of `row` that are queued before it.
/// @param offers the slots that the cell's upstreams offer now.
[[nodiscard]] auto expectedWait(const Cell &cell, const RowQueue &row, std::size_t ahead,
                                const std::vector<SlotOffer> &offers, MonoTime now) -> Duration;

/// Returns the expected time until the row's queue has room for one more request. Requests that
/// were refused because the queue was full count as ahead of it, so that retries are spread out in
/// time.
[[nodiscard]] auto expectedTimeToRoom(const Cell &cell, const RowQueue &row,
                                      const std::vector<SlotOffer> &offers, MonoTime now)
        -> Duration;

} // namespace flamingograde
