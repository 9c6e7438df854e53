/// The upstreams of one service that new flows may go to.
#pragma once

#include <cstdint>
#include <vector>

namespace flamingograde {

/// Indices of a service's entries, by how welcome a new flow is there.
struct ServicePool
{
    std::vector<std::uint32_t> near;   ///< Own zone, listed, answering.
    std::vector<std::uint32_t> far;    ///< Other zones, listed, answering.
    std::vector<std::uint32_t> spare;  ///< Missing or silent: used where nothing else is left.
    std::vector<std::uint32_t> silent; ///< Of `spare`: those to be tried again.
    std::uint32_t nearSlots = 0;       ///< Slots of `near`.
    std::uint32_t nearBusy = 0;        ///< Requests of this host's flows under way at `near`.
};

} // namespace flamingograde
