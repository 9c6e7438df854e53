/// The orderly stop of this host.
#pragma once

#include <flamingograde/clock.h>

namespace flamingograde {

/// Whether and since when this host stops.
struct StopState
{
    bool stopping = false; ///< Asked to stop; takes no feeds once `closed`, nothing once `ready`.
    bool closed = false;   ///< The listeners are closed.
    bool ready = false;    ///< `StopReady` was given.
    MonoTime since;        ///< When it was asked.
};

} // namespace flamingograde
