/// Creates the records of the local host and of its seeds.
#include "core/membership/membershipstart.h"

#include "core/blackboard.h"
#include "core/membership/membermerge.h"

#include <flamingograde/config.h>

#include <chrono>

namespace flamingograde {

auto initialiseMembership(Blackboard &board) -> void
{
    auto &self = board.init.self;
    self.id = HostId::ofName(self.name);
    self.zone = ZoneId::ofName(self.zoneName);
    if (self.incarnation == 0) {
        const auto age = board.now.wall.time_since_epoch();
        self.incarnation = static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
    }
    auto &membership = board.membership;
    membership.self = self.id;
    membership.hasSeeds = !board.init.seeds.empty() || !board.init.seedAddresses.empty();
    membership.startedAt = board.now.mono;
    membership.resumedAt = board.now.mono;
    membership.lastAnsweredProbeAt = board.now.mono - config::pauseThreshold;
    addMember(board, self);
    for (const auto &seed : board.init.seeds) {
        addMember(board, seed);
    }
}

} // namespace flamingograde
