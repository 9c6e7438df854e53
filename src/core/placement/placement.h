/// Decides where the host that received an exchange from its caller sends it.
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

/// Placement result: this host is the home of the exchange's cell.
struct LocalHome
{
    CellId cell;
};

/// Placement result: another host is the home of the exchange's cell.
struct RemoteHome
{
    CellId cell;
    ZoneId zone;
    HostId home;
};

/// Placement result: the exchange cannot be placed now.
struct NoPlacement
{
    RefusalReason reason = RefusalReason::NoUpstream;
    bool retryable = false; ///< Whether a later attempt may succeed.
};

/// Placement result: this host dispatches directly to an upstream, without a home. Only baselines
/// do so, because nothing then prevents two hosts from sending the same key to two upstreams, or an
/// upstream from getting more requests than it has slots.
struct DirectUpstream
{
    UpstreamId upstream;
};

using PlacementDecision = std::variant<LocalHome, RemoteHome, NoPlacement, DirectUpstream>;

/// A cell in which an exchange of a service may be placed.
struct CellChoice
{
    CellId cell;
    ZoneId zone;
    HostId home;
    double slots = 0;   ///< Slots of its active upstreams in the table.
    bool ready = false; ///< Whether its home is believed to run requests at once.
};

/// Returns the cells of `service` that have active upstreams and a home.
[[nodiscard]] auto cellChoices(const Blackboard &board, ServiceId service)
        -> std::vector<CellChoice>;

/// Returns the placement in the cell of `service` in `zone`, by the home of that cell.
[[nodiscard]] auto placeInZone(const Blackboard &board, ServiceId service, ZoneId zone)
        -> PlacementDecision;

/// Returns the name of the zone of `cell`; empty if the cell is not in the table.
[[nodiscard]] auto zoneNameOf(const Blackboard &board, CellId cell) -> std::string;

/// Returns the placement of `key` of `service` by the table that was in force at its `birth`.
[[nodiscard]] auto placementOfKey(const Blackboard &board, ServiceId service,
                                  const std::string &key, std::optional<WallTime> birth)
        -> KeyPlacement;

/// Returns whether `upstream` may get new requests of `service` now.
[[nodiscard]] auto isOpenFor(const Blackboard &board, UpstreamId upstream, ServiceId service)
        -> bool;

/// Returns the upstreams of `service` that may get new requests now.
[[nodiscard]] auto openUpstreams(const Blackboard &board, ServiceId service)
        -> std::vector<const Upstream *>;

/// Returns how many exchanges of this host are running at `upstream`.
/// @remarks Iterates over all exchanges, so only baselines use it.
[[nodiscard]] auto ownRunningAt(const Blackboard &board, UpstreamId upstream) -> std::size_t;

} // namespace flamingograde
