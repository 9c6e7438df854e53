/// What hosts tell each other about the demand for a service.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstdint>
#include <vector>

namespace flamingograde {

/// Demand for one service, of one host or of several together.
struct ServiceDemand
{
    ServiceId service;
    double requestsPerSecond = 0; ///< Requests that callers send, and flows that were refused.
    std::uint32_t underWay = 0;   ///< Requests under way at upstreams of any zone.
};

/// Demand that arrives in one availability zone.
struct ZoneDemand
{
    ZoneId zone;
    Duration age { 0 }; ///< Time since a hub of the zone added it up.
    std::vector<ServiceDemand> services;
};

/// Reports of demand in a message to another host.
struct DemandReports
{
    std::vector<ServiceDemand> part; ///< Of the sender and, if it is a hub, of the hosts it feeds.
    std::vector<ZoneDemand> zones;   ///< Totals of availability zones.

    /// Returns whether there is nothing to report. Precondition: none.
    [[nodiscard]] auto isEmpty() const -> bool { return this->part.empty() && this->zones.empty(); }
};

} // namespace flamingograde
