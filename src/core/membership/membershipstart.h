/// What both forms of membership do at a start.
#pragma once

namespace flamingograde {

class Blackboard;

/// Makes this host and the hosts that its settings name known. Precondition: called once.
auto beginMembership(Blackboard &board) -> void;

} // namespace flamingograde
