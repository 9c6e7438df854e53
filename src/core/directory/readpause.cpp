/// Draws pauses, so that hosts do not read together.
#include "core/directory/readpause.h"

#include "core/blackboard.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <random>

namespace flamingograde {

auto ReadPause::noteFailure(Blackboard &board) -> void
{
    this->backoff = std::clamp<Duration>(this->backoff * 2, config::directoryRetryMin,
                                         config::directoryRetryMax);
    this->begin(board, this->backoff);
}

auto ReadPause::noteAnswer(MonoTime now, bool hasChanges) -> void
{
    this->backoff = Duration(0);
    this->until = now;
    if (hasChanges) {
        const auto isRollout = now - this->lastChange < 2 * config::rolloutReadPause;
        this->until += isRollout ? Duration(config::rolloutReadPause) : Duration(0);
        this->lastChange = now;
    }
}

auto ReadPause::begin(Blackboard &board, Duration longest) -> void
{
    std::uniform_int_distribution<Duration::rep> draw(longest.count() / 2, longest.count());
    this->until = board.now.mono + Duration(draw(board.random));
}

} // namespace flamingograde
