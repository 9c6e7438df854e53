/// Record of a dispatched request that occupies an upstream slot.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstdint>

namespace flamingograde {

/// Data of a dispatched request that is needed after its exchange was removed.
struct RunningRequest
{
    ExchangeId exchange;
    std::uint32_t attempt = 0; ///< Attempt number of its `Dispatch` action.
    CellId cell;
    RowId row;
    UpstreamId upstream;
    MonoTime since;         ///< When it was dispatched.
    MonoTime deadline;      ///< Deadline of the exchange, after which it is given up.
    Duration charged { 0 }; ///< Slot time charged to its row in advance, at dispatch.
    bool answered = false;  ///< The complete answer was received.
    bool notSent = false;   ///< No byte of it was sent.
    bool failed = false;    ///< It was already counted as a failure of its upstream.
    bool notRun = false;    ///< Its upstream reported that it did not run it.
};

} // namespace flamingograde
