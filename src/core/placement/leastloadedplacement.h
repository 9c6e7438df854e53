/// Baseline: placement by the own fewest requests.
#pragma once

#include "core/placement/placement.h"

namespace flamingograde {

/// Sends each request to the open upstream with the fewest requests of this host for its slots.
/// @remarks A baseline to measure against; it keeps none of the promises on keys and slots.
class LeastLoadedPlacement
{
public:
    /// Places `exchange`. Precondition: its row is in the table.
    auto place(Blackboard &board, Exchange &exchange) const -> Placed;
};

} // namespace flamingograde
