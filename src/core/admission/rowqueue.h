/// The requests of one row that wait in a cell.
#pragma once

#include "core/admission/servicetime.h"

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace flamingograde {

/// A row's queue, its running count and its place in the weighted fair order.
struct RowQueue
{
    RowId row;
    std::string name;             ///< Copied from the row when it last queued.
    std::uint32_t weight = 1;     ///< Likewise.
    std::uint32_t urgency = 0;    ///< Likewise.
    std::uint32_t concurrent = 0; ///< Likewise; 0: no limit.
    std::size_t capacity = 0;     ///< Likewise: most that may wait.
    Duration deadline { 0 };      ///< Likewise: the time a request of the row has.
    std::deque<ExchangeId> waiting;
    std::uint32_t running = 0;
    std::uint32_t turnedAway = 0; ///< Refused for want of room and not yet made up by a dispatch.
    double startTag = 0;          ///< Virtual time at which the next request may begin.
    ServiceTime serviceTime;

    /// Returns whether one more may run under `concurrent`.
    [[nodiscard]] auto hasRoom() const -> bool
    {
        return this->concurrent == 0 || this->running < this->concurrent;
    }
};

} // namespace flamingograde
