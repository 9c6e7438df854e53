/// The upstreams of one service that accept new flows.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace flamingograde {

/// Indices of a service's entries, grouped by their suitability for new flows.
struct ServicePool
{
    std::string name;                ///< Of the service; empty if it has no upstream.
    std::vector<std::uint32_t> near; ///< In the own zone, answering.
    std::vector<std::uint32_t> far;  ///< In other zones, answering.
    std::vector<std::uint32_t> cold; ///< In the own zone, cold-limited; this host has a share.
    /// Not answering: used if no other upstream is left; otherwise retried occasionally.
    std::vector<std::uint32_t> silent;
    std::uint32_t nearSlots = 0; ///< Sum of the slots of `near`.
    std::uint32_t farSlots = 0;  ///< Sum of the slots of `far`.
    std::uint32_t nearBusy = 0;  ///< Pending requests of this host's flows at `near`.
    std::uint32_t underWay = 0;  ///< Requests of this host's flows that wait for, or occupy, slots
                                 ///< of `near` and `far`.

    /// Returns the slots of all answering upstreams. Precondition: none.
    [[nodiscard]] auto slots() const -> std::uint32_t { return this->nearSlots + this->farSlots; }
};

} // namespace flamingograde
