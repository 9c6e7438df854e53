/// Request rate limit of the upstreams of a service for a time after their start.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <string>

namespace flamingograde {

/// The highest request rate that a cold upstream of a service can handle; it fails above this rate.
struct ColdLimit
{
    ServiceId service;            ///< Made from `serviceName`.
    std::string serviceName;      ///< The service whose upstreams have the limit.
    Duration coldTime { 0 };      ///< How long an upstream is cold after its start.
    double requestsPerSecond = 0; ///< Limit for the requests of all hosts together.
};

} // namespace flamingograde
