/// Baseline: a separate queue for each upstream.
#pragma once

#include "core/placement/cellhomeplacement.h"

namespace flamingograde {

/// Places as `CellHomePlacement` does, and then binds the request to one upstream of the cell, so
/// that each upstream has its own queue at the cell's home.
/// @remarks A baseline that shows the benefit of one joint queue for each cell. It guarantees, as
/// `CellHomePlacement` does, that a key runs at most once and that slot limits are respected.
class UpstreamHomePlacement
{
public:
    /// Places `exchange`. Precondition: its row is in the table.
    auto place(Blackboard &board, Exchange &exchange) const -> PlacementDecision;

private:
    CellHomePlacement cellPlacement;
};

} // namespace flamingograde
