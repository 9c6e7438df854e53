/// The cells that this host is home of.
#pragma once

#include "core/homes/knownfrom.h"

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <map>
#include <optional>
#include <set>

namespace flamingograde {

/// A host is home of a cell from the moment when every other candidate of the zone granted its
/// claim, until it grants another's claim, was paused, or is cut off.
/// @remarks Written by the tenure controller only. Not thread safe.
class TenureState
{
public:
    /// Returns since when (wall time) this host may run requests of `cell`, or nothing.
    [[nodiscard]] auto since(CellId cell) const -> std::optional<WallTime>;

    /// Returns from when this host knows every dispatch of `cell`, or nothing where it is not its
    /// home: from the begin of its tenure, or from earlier where the former home told it.
    [[nodiscard]] auto knownFrom(CellId cell) const -> std::optional<KnownFrom>;

    /// Returns whether this host claims `cell` and waits for grants: requests may wait here.
    [[nodiscard]] auto isClaiming(CellId cell) const -> bool;

    /// Returns the host that granted this host's claim and was home of `cell` before; invalid for
    /// none known or none alive.
    [[nodiscard]] auto formerHome(CellId cell) const -> HostId;

    /// What is known of a cell that this host is home of.
    struct Tenure
    {
        WallTime since;
        HostId former;                      ///< Invalid for none known.
        std::optional<KnownFrom> told = {}; ///< By the former home.
    };

    /// Returns all cells that this host is home of.
    [[nodiscard]] auto all() const -> const std::map<CellId, Tenure> & { return this->held; }

    /// Begins to be home of `cell`; the claim, if any, is over.
    auto begin(CellId cell, Tenure tenure) -> void;
    /// Is no longer home of `cell`. @returns whether it was.
    auto end(CellId cell) -> bool;
    /// Notes whether `cell` is being claimed.
    auto setClaiming(CellId cell, bool claiming) -> void;
    /// Forgets `host` as a former home: it is dead.
    auto forgetFormer(HostId host) -> void;

private:
    std::map<CellId, Tenure> held;
    std::set<CellId> claimed;
};

} // namespace flamingograde
