/// What both forms of membership do at a start and after a pause.
#pragma once

#include <flamingograde/clock.h>

namespace flamingograde {

class Blackboard;

/// Makes this host and the hosts that its settings name known. Precondition: called once.
auto beginMembership(Blackboard &board) -> void;

/// Counts and logs that the process stood still for `gap`. Precondition: after `beginMembership`.
auto notePause(Blackboard &board, Duration gap) -> void;

} // namespace flamingograde
