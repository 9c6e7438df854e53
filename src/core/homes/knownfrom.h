/// From when a home knows every dispatch of a cell.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/revision.h>

namespace flamingograde {

/// Every key that was dispatched in a cell is known to its home, or was dispatched before `since`.
struct KnownFrom
{
    WallTime since;
    Revision tables; ///< `since` allows for keys that tables up to this one led elsewhere.
};

} // namespace flamingograde
