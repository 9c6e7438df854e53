/// State of the graceful shutdown of this host.
#pragma once

#include <flamingograde/clock.h>

namespace flamingograde {

/// Progress of the graceful shutdown.
struct StopState
{
    bool stopping = false; ///< A stop was requested; feeds are refused once `listenersClosed`,
                           ///< everything once `ready`.
    bool listenersClosed = false; ///< The listeners are closed.
    bool ready = false;           ///< The stop is complete; `StopReady` was sent.
    MonoTime since;               ///< When the stop was requested.
};

} // namespace flamingograde
