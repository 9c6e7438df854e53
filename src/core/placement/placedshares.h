/// Counts, per slot, the exchanges that this host has placed in each cell.
#pragma once

#include <flamingograde/ids.h>

#include <unordered_map>

namespace flamingograde {

/// Counts placements by cell, so that requests that may go to any cell compensate for the uneven
/// spread of those with an idempotency key: the key determines the cell, and keys are spread at
/// random.
/// @remarks Not thread safe.
class PlacedShares
{
public:
    /// Returns the number of placements in `cell` per slot; 0 if there were none.
    [[nodiscard]] auto perSlot(CellId cell) const -> double;

    /// Counts a placement in `cell`, which has `slots` slots. Precondition: `slots` is above 0.
    /// @param least the lowest count per slot of all cells of the service. The count of `cell` is
    /// raised to at most `config::placedLagMax` below it, so that a cell that was unavailable for a
    /// long time does not get all requests until it has caught up.
    auto count(CellId cell, double slots, double least) -> void;

private:
    std::unordered_map<CellId, double> shares;
};

} // namespace flamingograde
