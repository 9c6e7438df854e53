/// Loads of all services for which callers ask this host.
#pragma once

#include "core/flowadmission/serviceload.h"

#include <flamingograde/ids.h>

#include <unordered_map>

namespace flamingograde {

/// The load of each service for which callers asked since the start.
/// @remarks Not thread safe. Allocates once for each service.
struct FlowAdmissionState
{
    /// Returns the load of a service. Precondition: none.
    [[nodiscard]] auto of(ServiceId service) -> ServiceLoad & { return this->loads[service]; }

    /// Returns the load of a service, or null if nobody has asked for it. Precondition: none.
    [[nodiscard]] auto find(ServiceId service) const -> const ServiceLoad *
    {
        const auto found = this->loads.find(service);
        return found == this->loads.end() ? nullptr : &found->second;
    }

    std::unordered_map<ServiceId, ServiceLoad> loads;
};

} // namespace flamingograde
