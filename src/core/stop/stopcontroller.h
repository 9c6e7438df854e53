/// Controller of the graceful shutdown of a host.
#pragma once

#include <flamingograde/event.h>

namespace flamingograde {

class Blackboard;

/// Closes the listeners `config::stopNoticeTime` after the stop was requested, then waits until all
/// work is finished. After the stop timeout it refuses the remaining requests and reports what was
/// unfinished.
/// @remarks Not thread safe. The membership controller announces the stop, the feed controller
/// ends the feeds, and the tenure controller hands the cells over.
class StopController
{
public:
    /// Handles one event. Precondition: none.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    MonoTime listenersClosedAt; ///< When the listeners were closed.
    MonoTime lastReported;      ///< When `StopWaits` was last logged.
};

} // namespace flamingograde
