/// Decides where each request goes from its entry host.
#pragma once

#include "core/cellhomeplacement.h"

#include <flamingograde/event.h>

#include <variant>

namespace flamingograde {

class Blackboard;

using Placement = std::variant<CellHomePlacement>;

/// Places the exchanges of `toPlace`: hands them to admission here, relays them to their home,
/// has them wait, or refuses them.
/// @remarks Not thread safe.
class SteeringController
{
public:
    /// Takes the exchanges whose pause has ended. Precondition: none.
    auto handle(Blackboard &board, const Event &event) -> void;

    /// Places what is in `toPlace`. Precondition: none.
    auto settle(Blackboard &board) -> void;

private:
    Placement placement;
};

} // namespace flamingograde
