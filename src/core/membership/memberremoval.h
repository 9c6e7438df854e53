/// Removal of member records.
#pragma once

#include <flamingograde/ids.h>

namespace flamingograde {

class Blackboard;

/// Removes a member's record and drops the connection with it.
/// Precondition: `host` is not the local host.
auto removeMember(Blackboard &board, HostId host) -> void;

/// Removes the records of hosts that have been dead for long and that the platform does not list.
/// Precondition: none.
auto removeExpiredMembers(Blackboard &board) -> void;

} // namespace flamingograde
