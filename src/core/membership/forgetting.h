/// When a member's record is dropped.
#pragma once

#include <flamingograde/ids.h>

namespace flamingograde {

class Blackboard;

/// Drops a member's record and the connection with it. Precondition: it is not this host.
auto forgetMember(Blackboard &board, HostId host) -> void;

/// Forgets hosts that are long dead and that the platform does not name. Precondition: none.
auto forgetGone(Blackboard &board) -> void;

} // namespace flamingograde
