/// Baseline: placement at the better of two random upstreams.
#pragma once

#include "core/placement/placement.h"

namespace flamingograde {

/// Draws two upstreams at random, weighted by their slots, and sends the request to the one with
/// fewer running requests per slot, counting only those of this host.
/// @remarks A baseline for comparison. It guarantees neither that a key runs at most once nor that
/// an upstream gets no more requests than it has slots.
class TwoChoicesPlacement
{
public:
    /// Places `exchange`. Precondition: its row is in the table.
    auto place(Blackboard &board, Exchange &exchange) const -> PlacementDecision;
};

} // namespace flamingograde
