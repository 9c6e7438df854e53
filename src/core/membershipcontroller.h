/// Knows which hosts of the fleet are at work.
#pragma once

#include <flamingograde/event.h>

namespace flamingograde {

class Blackboard;

/// Keeps the members from seeds, the platform's list and the hosts themselves.
/// @remarks Not thread safe. Throws nothing.
class MembershipController
{
public:
    /// Takes one event. Precondition: `board.now` is the time of it.
    auto handle(Blackboard &board, const Event &event) -> void;
};

} // namespace flamingograde
