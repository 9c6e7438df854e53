/// The upstreams of one service that new flows may go to.
#pragma once

#include <cstdint>
#include <vector>

namespace flamingograde {

/// Indices of a service's entries, by how welcome a new flow is there.
struct ServicePool
{
    std::vector<std::uint32_t> near; ///< Own zone, answering.
    std::vector<std::uint32_t> far;  ///< Other zones, answering.
    std::vector<std::uint32_t> cold; ///< Own zone, cold-limited; this host has a share.
    std::vector<std::uint32_t>
            silent;              ///< Used where nothing else is left; else tried now and then.
    std::uint32_t nearSlots = 0; ///< Slots of `near`.
    std::uint32_t nearBusy = 0;  ///< Requests of this host's flows under way at `near`.
};

} // namespace flamingograde
