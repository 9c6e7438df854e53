/// The time from which a home knows all idempotency keys dispatched in a cell.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/revision.h>

namespace flamingograde {

/// The home of a cell knows every key that was dispatched in the cell at or after `since`.
struct KnownFrom
{
    WallTime since;
    Revision coveredRevision; ///< `since` covers keys that tables up to this revision placed in
                              ///< other cells.
};

} // namespace flamingograde
