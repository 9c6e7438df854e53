/// Baseline: placement by two choices.
#pragma once

#include "core/placement/placement.h"

namespace flamingograde {

/// Sends each request to the less loaded, by this host's own count, of two upstreams drawn by
/// slots.
/// @remarks A baseline to measure against; it keeps none of the promises on keys and slots.
class TwoChoicesPlacement
{
public:
    /// Places `exchange`. Precondition: its row is in the table.
    auto place(Blackboard &board, Exchange &exchange) const -> Placed;
};

} // namespace flamingograde
