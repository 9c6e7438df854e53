/// Extrapolates the fleet size from the own zone.
#include "core/overlay/fleetsize.h"

#include "core/blackboard.h"

#include <flamingograde/config.h>

#include <algorithm>

namespace flamingograde {

auto isLargeFleet(const Blackboard &board) -> bool
{
    const auto &membership = board.membership;
    const auto estimatedHosts =
            membership.zoneCount() * membership.voters(board.init.self.zone).size();
    return std::max(membership.records().size(), estimatedHosts) > config::flatMembershipHosts;
}

} // namespace flamingograde
