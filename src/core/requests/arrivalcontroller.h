/// Takes in what comes from callers and relaying hosts.
#pragma once

#include <flamingograde/event.h>

namespace flamingograde {

class Blackboard;

/// Checks each arrival against the table and the bounds, and makes an exchange or feed of it.
/// @remarks Not thread safe.
class ArrivalController
{
public:
    /// Takes one event. Precondition: none.
    auto handle(Blackboard &board, const Event &event) -> void;
};

} // namespace flamingograde
