/// The orderly stop of a host.
#pragma once

#include <flamingograde/event.h>

namespace flamingograde {

class Blackboard;

/// Closes the listeners after a notice, waits until everything is finished, and says what was
/// left if the wait became too long.
/// @remarks Not thread safe. The membership controller announces the stop, the feed controller
/// ends the feeds, and the tenure controller hands the cells over.
class StopController
{
public:
    /// Takes one event. Precondition: none.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    MonoTime closedAt; ///< When the listeners were closed.
    MonoTime reported; ///< When the log last said what the stop waits for.
};

} // namespace flamingograde
