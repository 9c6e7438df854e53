/// The part of a service's slots that one host may fill.
#pragma once

#include <flamingograde/config.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace flamingograde {

/// Slots of a service that fall to this host, and the requests with which it fills them.
///
/// Each host limits its own requests, at once and without asking others, so that the sum stays
/// within the service's limit. Only the shares, which change slowly, come from other hosts.
struct HostRoom
{
    double slots = 0;           ///< Slots of all usable upstreams, times this host's share.
    std::uint32_t underWay = 0; ///< Requests of this host under way at these upstreams.
    double fleetLoad = 0;       ///< Requests per slot by the reports of all hosts; 0: not known.

    /// Returns the requests per slot if one more request of this host was placed.
    ///
    /// A host with few requests has several at once by chance. While reports do not say that the
    /// service is full, chance is therefore allowed for; while they do, the fewer requests this
    /// host has, the more the reports count. Precondition: `slots` is positive.
    [[nodiscard]] auto loadWithOneMore() const -> double
    {
        constexpr double deviations = 2;
        constexpr double reportWeight = 4; ///< In requests of this host.
        const double requests = this->underWay + 1.0;
        if (this->fleetLoad < config::roomPerSlot) {
            return std::max(requests - deviations * std::sqrt(requests), 0.0) / this->slots;
        }
        return (requests * requests / this->slots + reportWeight * this->fleetLoad)
               / (requests + reportWeight);
    }
};

} // namespace flamingograde
