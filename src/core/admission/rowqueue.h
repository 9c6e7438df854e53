/// Waiting requests and scheduling state of one row in one cell.
#pragma once

#include "core/admission/servicetime.h"

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace flamingograde {

/// A row's queue, its number of running requests and its start tag in the weighted fair order.
struct RowQueue
{
    RowId row;
    // `name` to `deadline` are copied from the table's row whenever a request of the row is queued,
    // and when a new table is in force.
    std::string name;
    std::uint32_t weight = 1;     ///< Relative share of the cell's slot time.
    std::uint32_t urgency = 0;    ///< The higher, the earlier the row is served.
    std::uint32_t concurrent = 0; ///< Most requests of the row running at once; 0: no limit.
    std::size_t capacity = 0;     ///< Most requests of the row that may wait.
    Duration deadline { 0 };      ///< Time limit of a request of the row.
    std::deque<ExchangeId> waiting;
    std::uint32_t running = 0;
    /// Requests refused because the queue was full, less the requests dispatched since.
    std::uint32_t refusedUnserved = 0;
    double startTag = 0; ///< Virtual time at which the next request may start.
    ServiceTime serviceTime;

    /// Returns whether one more request may run without exceeding `concurrent`.
    [[nodiscard]] auto hasRoom() const -> bool
    {
        return this->concurrent == 0 || this->running < this->concurrent;
    }
};

} // namespace flamingograde
