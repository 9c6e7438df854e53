/// Where an exchange goes from its entry host.
#pragma once

#include "core/keys/placementhistory.h"

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/refusal.h>

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace flamingograde {

class Blackboard;
struct Exchange;
struct Upstream;

/// This host is the home of the exchange's cell.
struct PlaceHere
{
    CellId cell;
};

/// Another host is the home of the exchange's cell.
struct PlaceAt
{
    CellId cell;
    ZoneId zone;
    HostId home;
};

/// It cannot be placed now.
struct PlaceNowhere
{
    RefusalReason reason = RefusalReason::NoUpstream;
    bool mayChange = false; ///< Whether trying again soon may help.
};

/// An upstream that takes it from this host without a home. Only baselines do so: nothing keeps two
/// hosts from sending one key to two upstreams then, nor more than its slots to one upstream.
struct PlaceDirect
{
    UpstreamId upstream;
};

using Placed = std::variant<PlaceHere, PlaceAt, PlaceNowhere, PlaceDirect>;

/// A cell that may take an exchange of a service.
struct CellChoice
{
    CellId cell;
    ZoneId zone;
    HostId home;
    double slots = 0;   ///< Active slots of the table.
    bool ready = false; ///< Whether its home runs requests at once, as far as is known.
};

/// Returns the cells of `service` that have active upstreams and a home.
[[nodiscard]] auto cellChoices(const Blackboard &board, ServiceId service)
        -> std::vector<CellChoice>;

/// Returns the zone and home of `cell` in `zone` as a placement of this host.
[[nodiscard]] auto placeInZone(const Blackboard &board, ServiceId service, ZoneId zone) -> Placed;

/// Returns the name of the zone of `cell`; empty where the table does not have the cell.
[[nodiscard]] auto zoneNameOf(const Blackboard &board, CellId cell) -> std::string;

/// Returns where `key` of `service` is run, by the table of the time of its `birth`.
[[nodiscard]] auto placementOfKey(const Blackboard &board, ServiceId service,
                                  const std::string &key, std::optional<WallTime> birth)
        -> KeyPlacement;

/// Returns whether `upstream` may take new work of `service` now.
[[nodiscard]] auto isOpenFor(const Blackboard &board, UpstreamId upstream, ServiceId service)
        -> bool;

/// Returns the upstreams of `service` that may take new work now.
[[nodiscard]] auto openUpstreams(const Blackboard &board, ServiceId service)
        -> std::vector<const Upstream *>;

/// Returns how many requests of this host's own run at `upstream`.
/// @remarks Looks at all exchanges: for baselines only.
[[nodiscard]] auto ownRunningAt(const Blackboard &board, UpstreamId upstream) -> std::size_t;

} // namespace flamingograde
