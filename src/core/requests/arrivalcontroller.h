/// Controller that accepts or refuses requests arriving from callers and from relaying hosts.
#pragma once

#include <flamingograde/event.h>

namespace flamingograde {

class Blackboard;

/// Checks each arriving request against the table and the limits, then creates an exchange or a
/// feed for it or refuses it as not run.
/// @remarks Not thread safe.
class ArrivalController
{
public:
    /// Handles one event. Precondition: none.
    auto handle(Blackboard &board, const Event &event) -> void;
};

} // namespace flamingograde
