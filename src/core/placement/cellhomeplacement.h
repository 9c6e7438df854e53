/// Placement of exchanges in cells, each of which has one home.
#pragma once

#include "core/placement/placement.h"

namespace flamingograde {

/// Sends an exchange to the home of one cell of its service.
///
/// For a request with a caller's idempotency key the key alone determines the cell, so that each
/// repeat reaches the host that knows the key. An idempotent flow with a token stays at its
/// upstream on the first attempt, if that accepts new requests. All others go to the cell that this
/// host has given the fewest requests per slot, except overloaded cells; if all are overloaded, to
/// the less loaded of two cells drawn in proportion to their slots.
class CellHomePlacement
{
public:
    /// Places `exchange`, and binds it to the upstream of its flow if that is still usable.
    /// Precondition: its row is in the table.
    auto place(Blackboard &board, Exchange &exchange) const -> PlacementDecision;
};

} // namespace flamingograde
