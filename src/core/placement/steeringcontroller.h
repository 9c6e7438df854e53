/// Decides where each request goes from its entry host.
#pragma once

#include "core/placement/cellhomeplacement.h"
#include "core/placement/leastloadedplacement.h"
#include "core/placement/statichashplacement.h"
#include "core/placement/twochoicesplacement.h"
#include "core/placement/upstreamhomeplacement.h"

#include <flamingograde/event.h>
#include <flamingograde/policy.h>

#include <variant>

namespace flamingograde {

class Blackboard;

using Placement = std::variant<CellHomePlacement, UpstreamHomePlacement, LeastLoadedPlacement,
                               TwoChoicesPlacement, StaticHashPlacement>;

/// Places the exchanges of `toPlace`: hands them to admission here, relays them to their home,
/// has them wait, or refuses them.
/// @remarks Not thread safe.
class SteeringController
{
public:
    /// Precondition: none.
    explicit SteeringController(Policy policy = Policy::CellHome);

    /// Takes the exchanges whose pause has ended. Precondition: none.
    auto handle(Blackboard &board, const Event &event) -> void;

    /// Places what is in `toPlace`. Precondition: none.
    auto settle(Blackboard &board) -> void;

private:
    Placement placement; ///< By the policy of the settings.
};

} // namespace flamingograde
