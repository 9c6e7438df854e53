/// Placement in cells that have one home each.
#pragma once

#include "core/placement/placement.h"

namespace flamingograde {

/// Leads an exchange to the home of one cell of its service.
///
/// A caller's idempotency key decides the cell alone, so that each repeat meets the host that
/// knows it. An idempotent flow with a token stays at its upstream. All others go to the less
/// loaded of two cells drawn in proportion to their slots.
class CellHomePlacement
{
public:
    /// Places `exchange` and binds it to its flow's upstream where that holds.
    /// Precondition: its row is in the table.
    auto place(Blackboard &board, Exchange &exchange) const -> Placed;
};

} // namespace flamingograde
