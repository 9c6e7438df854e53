/// One service's upstreams in one zone, as their home sees them.
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

/// What one upstream carries on this host's word.
struct UpstreamLoad
{
    std::uint32_t running = 0; ///< Slots taken, those that linger included.
    double served = 0;         ///< Dispatches by slot; the lowest goes first among equals.
};

/// A slot of a request that was given up here and that its upstream may not have dropped yet.
struct LingeringSlot
{
    UpstreamId upstream;
    MonoTime until;
};

/// The queues and slots of a cell.
struct Cell
{
    CellId id;
    bool homed = false;      ///< This host was its home when last looked at.
    std::uint32_t slots = 0; ///< Slots offered when last looked at.
    double virtualTime = 0;  ///< Of the weighted fair order.
    std::size_t waiting = 0; ///< Over all rows.
    std::map<RowId, RowQueue> rows;
    std::unordered_map<ExchangeId, RunningRequest> running;
    std::unordered_map<UpstreamId, UpstreamLoad> upstreams;
    std::deque<LingeringSlot> lingering; ///< Soonest first.
};

} // namespace flamingograde
