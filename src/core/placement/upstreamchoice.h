/// Which upstream of a cell runs the next request.
#pragma once

#include <flamingograde/ids.h>

#include <cstdint>
#include <vector>

namespace flamingograde {

class Blackboard;
struct Cell;
struct Upstream;

/// What an upstream offers now.
struct SlotOffer
{
    const Upstream *upstream = nullptr; ///< Of the table in force.
    std::uint32_t slots = 0;            ///< It may run this many at once.
    std::uint32_t running = 0;          ///< It runs this many.
    double served = 0;                  ///< As `UpstreamLoad::served`.
    bool lastResort = false; ///< Traffic failed there lately and probes still speak against it.

    [[nodiscard]] auto isFree() const -> bool { return this->running < this->slots; }
};

/// Returns whether the table in force has an active upstream in `cell`.
[[nodiscard]] auto hasActiveUpstream(const Blackboard &board, CellId cell) -> bool;

/// Returns what the active upstreams of `cell` offer; those with no slots now included.
[[nodiscard]] auto slotOffers(const Blackboard &board, const Cell &cell) -> std::vector<SlotOffer>;

/// Returns the sum of the offered slots.
[[nodiscard]] auto offeredSlots(const std::vector<SlotOffer> &offers) -> std::uint32_t;

/// Returns the free offer with the lowest share of its slots taken, the least served of several;
/// null for none.
[[nodiscard]] auto chooseUpstream(const std::vector<SlotOffer> &offers) -> const SlotOffer *;

/// Counts a dispatch to `offer` in `cell`, so that ties even out over time.
auto countServed(Cell &cell, const std::vector<SlotOffer> &offers, const SlotOffer &offer) -> void;

} // namespace flamingograde
