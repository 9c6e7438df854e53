/// Tells which members share the local host's availability zone.
#pragma once

#include "core/blackboard.h"

namespace flamingograde {

/// Returns whether a member is in the local host's availability zone.
[[nodiscard]] inline auto isInOwnZone(const Blackboard &board, const MemberRecord &record) -> bool
{
    return record.member.zone == board.init.self.zone;
}

} // namespace flamingograde
