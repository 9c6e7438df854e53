/// Decides where the host that received a request sends it.
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

using PlacementStrategy =
        std::variant<CellHomePlacement, UpstreamHomePlacement, LeastLoadedPlacement,
                     TwoChoicesPlacement, StaticHashPlacement>;

/// Places the exchanges in `Blackboard::toPlace`: passes each to admission on this host, relays it
/// to its home, dispatches it directly for a baseline, delays it, or refuses it.
/// @remarks Not thread safe.
class SteeringController
{
public:
    /// Precondition: none.
    explicit SteeringController(Policy policy = Policy::CellHome);

    /// Moves the exchanges whose delay has elapsed to `Blackboard::toPlace`. Precondition: none.
    auto handle(Blackboard &board, const Event &event) -> void;

    /// Places all exchanges in `Blackboard::toPlace`. Precondition: none.
    auto settle(Blackboard &board) -> void;

private:
    PlacementStrategy strategy; ///< Chosen by the configured policy.
};

} // namespace flamingograde
