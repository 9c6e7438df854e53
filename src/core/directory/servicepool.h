/// The upstreams of one service that accept new flows.
#pragma once

#include <cstdint>
#include <vector>

namespace flamingograde {

/// Indices of a service's entries, grouped by their suitability for new flows.
struct ServicePool
{
    std::vector<std::uint32_t> near; ///< In the own zone, answering.
    std::vector<std::uint32_t> far;  ///< In other zones, answering.
    std::vector<std::uint32_t> cold; ///< In the own zone, cold-limited; this host has a share.
    /// Not answering: used if no other upstream is left; otherwise retried occasionally.
    std::vector<std::uint32_t> silent;
    std::uint32_t nearSlots = 0; ///< Sum of the slots of `near`.
    std::uint32_t nearBusy = 0;  ///< Pending requests of this host's flows at `near`.
};

} // namespace flamingograde
