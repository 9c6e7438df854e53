/// Spreads the reads of hosts that start together.
#include "core/directory/confirmationread.h"

#include "core/blackboard.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <cstdint>

namespace flamingograde {

auto ConfirmationRead::begin(MonoTime now, Duration delay) -> void
{
    this->notBefore = now + delay;
    this->dueAt.reset();
}

auto ConfirmationRead::isDue(Blackboard &board) -> bool
{
    const auto now = board.now.mono;
    if (now < this->notBefore) {
        return false;
    }
    if (!this->dueAt) {
        const auto hosts = std::max<std::uint64_t>(board.membership.records().size(), 1);
        const auto turn = board.membership.self.value() % hosts;
        this->dueAt = now + config::directoryConfirmSpacing * static_cast<Duration::rep>(turn);
    }
    return now >= *this->dueAt;
}

} // namespace flamingograde
