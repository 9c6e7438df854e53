/// Exchange of demand reports along the connections that hosts keep.
#pragma once

#include "core/loadreports/demandledger.h"

#include <flamingograde/ids.h>
#include <flamingograde/servicedemand.h>

namespace flamingograde {

class Blackboard;

/// Demand of the whole fleet.
struct FleetDemand
{
    DemandSums sums;      ///< By service.
    DemandSums ownZone;   ///< Part of `sums`.
    bool isKnown = false; ///< False if this host has heard of no other host's demand.
};

/// Returns what `receiver` is to know about demand: a hub of the zone gets the sender's part, a
/// host that the sender feeds gets the totals of all zones, a host of another zone gets the total
/// of the sender's zone. Precondition: none.
[[nodiscard]] auto demandReportsFor(const Blackboard &board, HostId receiver) -> DemandReports;

/// Stores the reports of another host. Reports with impossible numbers are left out.
/// Precondition: none.
auto takeDemandReports(Blackboard &board, HostId from, const DemandReports &reports) -> void;

/// Returns the demand of the whole fleet, as far as this host knows it. Precondition: none.
[[nodiscard]] auto fleetDemand(const Blackboard &board) -> FleetDemand;

} // namespace flamingograde
