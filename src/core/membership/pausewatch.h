/// Notices that the process stood still.
#pragma once

#include <flamingograde/clock.h>

#include <optional>

namespace flamingograde {

class Blackboard;

/// Takes a gap between two events above `config::pauseThreshold` for a pause of the process.
/// @remarks Not thread safe.
class PauseWatch
{
public:
    /// Counts and logs a pause. Precondition: to be called on each event, the first one included.
    /// @returns whether there was one before this event.
    auto notice(Blackboard &board) -> bool;

private:
    std::optional<MonoTime> lastEvent;
};

} // namespace flamingograde
