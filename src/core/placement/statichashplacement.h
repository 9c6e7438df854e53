/// Baseline: placement by a hash of the request.
#pragma once

#include "core/placement/placement.h"

namespace flamingograde {

/// Sends each request to the upstream chosen by a weighted rendezvous hash of its idempotency key,
/// or of its exchange id if it has none, regardless of load.
/// @remarks A baseline for comparison. It guarantees neither that a key runs at most once nor that
/// an upstream gets no more requests than it has slots.
class StaticHashPlacement
{
public:
    /// Places `exchange`. Precondition: its row is in the table.
    auto place(Blackboard &board, Exchange &exchange) const -> PlacementDecision;
};

} // namespace flamingograde
