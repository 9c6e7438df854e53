/// Makes one host at a time the home of each cell.
#pragma once

#include <flamingograde/event.h>

namespace flamingograde {

class Blackboard;

/// Claims the cells that rendezvous gives to this host.
/// @remarks Not thread safe. Throws nothing.
class TenureController
{
public:
    /// Takes one event. Precondition: `board.now` is the time of it.
    auto handle(Blackboard &board, const Event &event) -> void;
};

} // namespace flamingograde
