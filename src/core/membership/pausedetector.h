/// Detects pauses of the process.
#pragma once

#include <flamingograde/clock.h>

#include <optional>

namespace flamingograde {

class Blackboard;

/// Treats a gap of more than `config::pauseThreshold` between two events as a pause of the process.
/// @remarks Not thread safe.
class PauseDetector
{
public:
    /// Detects, counts and logs a pause. Precondition: called on each event, including the first.
    /// @returns whether the process was paused immediately before this event.
    auto detectPause(Blackboard &board) -> bool;

private:
    std::optional<MonoTime> lastEvent;
};

} // namespace flamingograde
