/// Chooses the upstream of a cell that runs the next request.
#include "core/placement/upstreamchoice.h"

#include "core/blackboard.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace flamingograde {

namespace {

/// Limits how far `dispatchesPerSlot` of an upstream lags behind the lowest of the other upstreams,
/// so that an upstream that was unavailable does not get all requests until it has caught up.
/// Counted in dispatches to the upstream with the fewest slots, because one dispatch raises its
/// `dispatchesPerSlot` the most.
constexpr double dispatchLagMax = 2.0;

auto isPreferred(const SlotOffer &a, const SlotOffer &b) -> bool
{
    if (a.lastResort != b.lastResort) {
        return b.lastResort;
    }
    const auto left = std::uint64_t { a.running } * b.slots;
    const auto right = std::uint64_t { b.running } * a.slots;
    return left != right ? left < right : a.dispatchesPerSlot < b.dispatchesPerSlot;
}

auto saysDraining(const Blackboard &board, const SlotOffer &offer) -> bool
{
    const auto *health = board.upstreams.find(offer.upstream->id);
    return health != nullptr && health->saysDraining;
}

/// Sets the offered slots of upstreams that report draining to 0, unless these have more than the
/// share `config::ejectShareMax` of all offered slots: a health endpoint may report a wrong state.
auto excludeDraining(const Blackboard &board, std::vector<SlotOffer> &offers) -> void
{
    std::uint32_t drainingSlots = 0;
    for (const auto &offer : offers) {
        drainingSlots += saysDraining(board, offer) ? offer.slots : 0;
    }
    if (drainingSlots > config::ejectShareMax * offeredSlots(offers)) {
        return;
    }
    for (auto &offer : offers) {
        offer.slots = saysDraining(board, offer) ? 0 : offer.slots;
    }
}

} // namespace

auto hasActiveUpstream(const Blackboard &board, CellId cell) -> bool
{
    const auto &upstreams = board.table().upstreams();
    const auto &indices = board.table().upstreamsOf(cell);
    return std::any_of(indices.begin(), indices.end(), [&upstreams](auto index) {
        return upstreams[index].state == UpstreamState::Active;
    });
}

auto slotOffers(const Blackboard &board, const Cell &cell) -> std::vector<SlotOffer>
{
    std::vector<SlotOffer> offers;
    for (const auto index : board.table().upstreamsOf(cell.id)) {
        const auto &upstream = board.table().upstreams()[index];
        if (upstream.state != UpstreamState::Active
            || board.config.isQuarantined(upstream.id, board.now.mono)) {
            continue;
        }
        SlotOffer offer;
        offer.upstream = &upstream;
        offer.slots = board.upstreams.effectiveSlots(upstream, board.now.mono);
        offer.lastResort = board.upstreams.isLastResort(upstream.id);
        const auto load = cell.upstreams.find(upstream.id);
        if (load != cell.upstreams.end()) {
            offer.running = load->second.running;
            offer.dispatchesPerSlot = load->second.dispatchesPerSlot;
        }
        offers.push_back(offer);
    }
    excludeDraining(board, offers);
    return offers;
}

auto offeredSlots(const std::vector<SlotOffer> &offers) -> std::uint32_t
{
    return std::accumulate(offers.begin(), offers.end(), std::uint32_t { 0 },
                           [](auto sum, const auto &offer) { return sum + offer.slots; });
}

auto chooseUpstream(const std::vector<SlotOffer> &offers) -> const SlotOffer *
{
    const SlotOffer *best = nullptr;
    for (const auto &offer : offers) {
        if (offer.isFree() && (best == nullptr || isPreferred(offer, *best))) {
            best = &offer;
        }
    }
    return best;
}

auto countDispatch(Cell &cell, const std::vector<SlotOffer> &offers, const SlotOffer &offer) -> void
{
    auto least = std::numeric_limits<double>::max();
    auto fewestSlots = offer.slots;
    for (const auto &other : offers) {
        least = std::min(least, &other == &offer ? least : other.dispatchesPerSlot);
        fewestSlots = std::min(fewestSlots, std::max<std::uint32_t>(other.slots, 1));
    }
    const auto step = 1.0 / offer.slots;
    auto &dispatches = cell.upstreams[offer.upstream->id].dispatchesPerSlot;
    if (offers.size() > 1) {
        dispatches = std::max(dispatches, least - dispatchLagMax / fewestSlots);
    }
    dispatches += step;
}

} // namespace flamingograde
