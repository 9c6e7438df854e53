/// Counts placements per slot by cell.
#include "core/placement/placedshares.h"

#include <flamingograde/config.h>

#include <algorithm>

namespace flamingograde {

auto PlacedShares::perSlot(CellId cell) const -> double
{
    const auto found = this->shares.find(cell);
    return found == this->shares.end() ? 0 : found->second;
}

auto PlacedShares::count(CellId cell, double slots, double least) -> void
{
    auto &share = this->shares[cell];
    share = std::max(share, least - config::placedLagMax) + 1.0 / slots;
}

} // namespace flamingograde
