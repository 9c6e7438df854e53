/// The cells that this host is home of.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <optional>

namespace flamingograde {

/// A host is home of a cell from the moment when every other candidate of the zone granted its
/// claim, until it grants another's claim, was paused, or is cut off.
/// @remarks Written by the tenure controller only. Not thread safe.
class TenureState
{
public:
    /// Returns since when (wall time) this host may run requests of `cell`, or nothing.
    [[nodiscard]] auto since(CellId cell) const -> std::optional<WallTime>;

    /// Returns whether this host claims `cell` and waits for grants: requests may wait here.
    [[nodiscard]] auto isClaiming(CellId cell) const -> bool;

    /// Returns the host that granted this host's claim and was home of `cell` before; invalid for
    /// none known or none alive.
    [[nodiscard]] auto formerHome(CellId cell) const -> HostId;
};

} // namespace flamingograde
