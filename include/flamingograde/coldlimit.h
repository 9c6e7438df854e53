/// Request rate limit of the upstreams of a service after their start.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <string>

namespace flamingograde {

/// The highest request rate that a cold upstream of a service can handle; above it, it fails.
struct ColdLimit
{
    ServiceId service;            ///< Made from `serviceName`.
    std::string serviceName;      ///< The service whose upstreams have the limit.
    Duration coldTime { 0 };      ///< How long an upstream is cold after its start.
    double requestsPerSecond = 0; ///< Sum over all hosts.
};

} // namespace flamingograde
