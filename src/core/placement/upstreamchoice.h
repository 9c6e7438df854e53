/// Chooses the upstream of a cell that runs the next request.
#pragma once

#include <flamingograde/ids.h>

#include <cstdint>
#include <vector>

namespace flamingograde {

class Blackboard;
struct Cell;
struct Upstream;

/// The slots that an upstream currently offers, and their use.
struct SlotOffer
{
    const Upstream *upstream = nullptr; ///< Entry in the table in force.
    std::uint32_t slots = 0;            ///< Requests that it may run at once.
    std::uint32_t running = 0;          ///< Slots in use, lingering ones included.
    double dispatchesPerSlot = 0;       ///< See `UpstreamLoad::dispatchesPerSlot`.
    /// Whether requests to it failed recently and its health probes still fail. It is chosen only
    /// if no other upstream has a free slot.
    bool lastResort = false;

    [[nodiscard]] auto isFree() const -> bool { return this->running < this->slots; }
};

/// Returns whether the table in force has an active upstream in `cell`.
[[nodiscard]] auto hasActiveUpstream(const Blackboard &board, CellId cell) -> bool;

/// Returns the offers of the active, not quarantined upstreams of `cell`, including those that have
/// no slots now.
[[nodiscard]] auto slotOffers(const Blackboard &board, const Cell &cell) -> std::vector<SlotOffer>;

/// Returns the sum of the offered slots, used or free.
[[nodiscard]] auto offeredSlots(const std::vector<SlotOffer> &offers) -> std::uint32_t;

/// Returns the offer with a free slot and the smallest share of its slots in use, and of equal ones
/// the one with the lowest `dispatchesPerSlot`; null if no slot is free. Offers marked `lastResort`
/// come after all others.
[[nodiscard]] auto chooseUpstream(const std::vector<SlotOffer> &offers) -> const SlotOffer *;

/// Counts a dispatch to `offer` in `cell`, so that equally loaded upstreams get requests in
/// proportion to their slots over time.
auto countDispatch(Cell &cell, const std::vector<SlotOffer> &offers, const SlotOffer &offer)
        -> void;

} // namespace flamingograde
