/// Baseline: placement by a hash.
#pragma once

#include "core/placement/placement.h"

namespace flamingograde {

/// Sends each request to the upstream that a hash of it names, whatever its load.
/// @remarks A baseline to measure against; it keeps none of the promises on keys and slots.
class StaticHashPlacement
{
public:
    /// Places `exchange`. Precondition: its row is in the table.
    auto place(Blackboard &board, Exchange &exchange) const -> Placed;
};

} // namespace flamingograde
