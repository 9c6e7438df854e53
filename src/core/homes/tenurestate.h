/// The cells whose home is this host.
#pragma once

#include "core/homes/knownfrom.h"

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <map>
#include <optional>
#include <set>

namespace flamingograde {

/// Records the tenures of this host. A tenure of a cell begins when every other candidate of the
/// zone has granted the claim of this host. It ends when this host accepts the claim of another
/// host, was paused, was declared dead, or can reach no other host.
/// @remarks Only the tenure controller modifies it. Not thread safe.
class TenureState
{
public:
    /// Returns the wall time at which the tenure of `cell` began; nothing if this host is not its
    /// home and must not run its requests.
    [[nodiscard]] auto since(CellId cell) const -> std::optional<WallTime>;

    /// Returns from when this host knows every dispatch of `cell`: from the beginning of its
    /// tenure, or from an earlier time if the former home handed over its keys. Nothing if it is
    /// not the home.
    [[nodiscard]] auto knownFrom(CellId cell) const -> std::optional<KnownFrom>;

    /// Returns whether this host claims `cell` and waits for grants. Requests of the cell may be
    /// queued meanwhile.
    [[nodiscard]] auto isClaiming(CellId cell) const -> bool;

    /// Returns the host that was the home of `cell` until it granted the claim of this host;
    /// invalid if none is known or it is dead.
    [[nodiscard]] auto formerHome(CellId cell) const -> HostId;

    /// A period in which this host is the home of a cell.
    struct Tenure
    {
        WallTime since;
        HostId formerHome;                       ///< Invalid if none is known.
        std::optional<KnownFrom> inherited = {}; ///< Reported by the former home.
    };

    /// Returns the tenures of this host, by cell.
    [[nodiscard]] auto all() const -> const std::map<CellId, Tenure> & { return this->tenures; }

    /// Makes this host the home of `cell`, and ends its claim if there is one.
    auto begin(CellId cell, Tenure tenure) -> void;
    /// Ends the tenure of `cell`. @returns whether this host was its home.
    auto end(CellId cell) -> bool;
    /// Sets whether this host is claiming `cell`.
    auto setClaiming(CellId cell, bool claiming) -> void;
    /// Removes `host` as the former home of all cells, because it is dead.
    auto forgetFormer(HostId host) -> void;

private:
    std::map<CellId, Tenure> tenures;
    std::set<CellId> claimedCells;
};

} // namespace flamingograde
