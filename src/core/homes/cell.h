/// Queues, running requests and slot use of a cell: the upstreams of one service in one zone. A
/// cell has at most one home at a time: the host that queues its requests and dispatches them to
/// the upstreams.
#pragma once

#include "core/admission/rowqueue.h"
#include "core/requests/runningrequest.h"

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>

namespace flamingograde {

/// Load that this host has put on one upstream.
struct UpstreamLoad
{
    std::uint32_t running = 0; ///< Slots in use, lingering ones included.
    /// Requests dispatched to the upstream per slot, raised by `countDispatch` if far behind other
    /// upstreams. Of equally loaded upstreams the one with the lowest value is chosen.
    double dispatchesPerSlot = 0;
};

/// A slot that stays reserved after this host cancelled its request, because the upstream may still
/// be processing it.
struct LingeringSlot
{
    UpstreamId upstream;
    MonoTime until;
};

/// The request queues of a cell and the slots in use at its upstreams.
struct Cell
{
    CellId id;
    bool isHomeHere = false; ///< Whether this host is the cell's home, as of the last event.
    std::uint32_t slots = 0; ///< Slots that the upstreams offered at the last `Tick`.
    double virtualTime = 0;  ///< Virtual time of the weighted fair queueing.
    std::size_t waiting = 0; ///< Queued requests of all rows.
    std::map<RowId, RowQueue> rows;
    std::unordered_map<ExchangeId, RunningRequest> running;
    std::unordered_map<UpstreamId, UpstreamLoad> upstreams;
    std::deque<LingeringSlot> lingering; ///< Ordered by `until`, earliest first.
};

} // namespace flamingograde
