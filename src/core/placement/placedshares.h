/// How much each cell has been given by this host, as a share of its slots.
#pragma once

#include <flamingograde/ids.h>

#include <unordered_map>

namespace flamingograde {

/// Counts placements by cell, so that those that are free to move even out those that are not:
/// a key decides its own cell, and keys spread at random.
/// @remarks Not thread safe.
class PlacedShares
{
public:
    /// Returns the placements at `cell` for each of its slots.
    [[nodiscard]] auto of(CellId cell) const -> double;

    /// Counts a placement at `cell`. Precondition: `slots` is above 0.
    /// @param least the lowest share of the service's cells: one that was away for long catches up
    /// on no more than `config::placedLagMax`.
    auto count(CellId cell, double slots, double least) -> void;

private:
    std::unordered_map<CellId, double> shares;
};

} // namespace flamingograde
