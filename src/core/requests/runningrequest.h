/// One request that holds an upstream's slot.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstdint>

namespace flamingograde {

/// What must be known of a dispatched request once its exchange is gone.
struct RunningRequest
{
    ExchangeId exchange;
    std::uint32_t attempt = 0; ///< Of its `Dispatch`.
    CellId cell;
    RowId row;
    UpstreamId upstream;
    MonoTime since;         ///< When it was dispatched.
    MonoTime deadline;      ///< When it is given up.
    Duration charged { 0 }; ///< Slot time already charged to its row.
    bool answered = false;  ///< The whole answer came.
    bool notSent = false;   ///< No byte of it left.
    bool failed = false;    ///< Its upstream was already blamed for it.
    bool unrun = false;     ///< Its upstream sent it back unrun.
};

} // namespace flamingograde
