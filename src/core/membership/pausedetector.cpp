/// Measures the gaps between events.
#include "core/membership/pausedetector.h"

#include "core/blackboard.h"
#include "core/milliseconds.h"

#include <flamingograde/config.h>

namespace flamingograde {

auto PauseDetector::detectPause(Blackboard &board) -> bool
{
    const auto now = board.now.mono;
    const Duration gap = now - this->lastEvent.value_or(now);
    this->lastEvent = now;
    if (gap <= config::pauseThreshold) {
        return false;
    }
    ++board.stats.pauses;
    ++board.membership.pauses;
    board.membership.resumedAt = now;
    board.log(LogEvent::PauseNoticed, "ms=" + std::to_string(milliseconds(gap)));
    return true;
}

} // namespace flamingograde
