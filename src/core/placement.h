/// Where an exchange goes from its entry host.
#pragma once

#include <flamingograde/ids.h>
#include <flamingograde/refusal.h>

#include <variant>
#include <vector>

namespace flamingograde {

class Blackboard;
struct Exchange;

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

using Placed = std::variant<PlaceHere, PlaceAt, PlaceNowhere>;

/// A cell that may take an exchange of a service.
struct CellChoice
{
    CellId cell;
    ZoneId zone;
    HostId home;
    double slots = 0;       ///< Active slots of the table.
    bool reachable = false; ///< Whether its home answers, as far as is known.
};

/// Returns the cells of `service` that have active upstreams and a home.
[[nodiscard]] auto cellChoices(const Blackboard &board, ServiceId service)
        -> std::vector<CellChoice>;

/// Returns the zone and home of `cell` in `zone` as a placement of this host.
[[nodiscard]] auto placeInZone(const Blackboard &board, ServiceId service, ZoneId zone) -> Placed;

/// Returns whether `upstream` may take new work of `service` now.
[[nodiscard]] auto isOpenFor(const Blackboard &board, UpstreamId upstream, ServiceId service)
        -> bool;

} // namespace flamingograde
