/// Baseline: a queue of its own for each upstream.
#pragma once

#include "core/placement/cellhomeplacement.h"

namespace flamingograde {

/// Places as `CellHomePlacement` does, and then binds the request to one upstream of the cell, so
/// that each upstream has its own queue at the cell's home.
/// @remarks To measure what the joint queue of a cell gains. Keeps the promises on keys and slots.
class UpstreamHomePlacement
{
public:
    /// Places `exchange`. Precondition: its row is in the table.
    auto place(Blackboard &board, Exchange &exchange) const -> Placed;

private:
    CellHomePlacement cells;
};

} // namespace flamingograde
