/// Baseline: placement at the upstream with the fewest requests from this host.
#pragma once

#include "core/placement/placement.h"

namespace flamingograde {

/// Sends each request to the usable upstream with the fewest running requests per slot, counting
/// only those of this host.
/// @remarks A baseline for comparison. It guarantees neither that a key runs at most once nor that
/// an upstream gets no more requests than it has slots.
class LeastLoadedPlacement
{
public:
    /// Places `exchange`. Precondition: its row is in the table.
    auto place(Blackboard &board, Exchange &exchange) const -> PlacementDecision;
};

} // namespace flamingograde
