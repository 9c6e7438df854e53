/// Which upstream of a cell runs the next request.
#include "core/placement/upstreamchoice.h"

#include "core/blackboard.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace flamingograde {

namespace {

/// An upstream that was away catches up on no more than this many dispatches of the smallest one.
constexpr double servedLagMax = 2.0;

auto isLess(const SlotOffer &a, const SlotOffer &b) -> bool
{
    if (a.lastResort != b.lastResort) {
        return b.lastResort;
    }
    const auto left = std::uint64_t { a.running } * b.slots;
    const auto right = std::uint64_t { b.running } * a.slots;
    return left != right ? left < right : a.served < b.served;
}

auto saysDraining(const Blackboard &board, const SlotOffer &offer) -> bool
{
    const auto *health = board.upstreams.find(offer.upstream->id);
    return health != nullptr && health->saysDraining;
}

/// Takes away the offers of upstreams that say they drain, unless too much would be left out: a
/// health endpoint may mislead.
auto heedDrainHints(const Blackboard &board, std::vector<SlotOffer> &offers) -> void
{
    std::uint32_t hinted = 0;
    for (const auto &offer : offers) {
        hinted += saysDraining(board, offer) ? offer.slots : 0;
    }
    if (hinted > config::ejectShareMax * offeredSlots(offers)) {
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
            offer.served = load->second.served;
        }
        offers.push_back(offer);
    }
    heedDrainHints(board, offers);
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
        if (offer.isFree() && (best == nullptr || isLess(offer, *best))) {
            best = &offer;
        }
    }
    return best;
}

auto countServed(Cell &cell, const std::vector<SlotOffer> &offers, const SlotOffer &offer) -> void
{
    auto least = std::numeric_limits<double>::max();
    auto fewest = offer.slots;
    for (const auto &other : offers) {
        least = std::min(least, &other == &offer ? least : other.served);
        fewest = std::min(fewest, std::max<std::uint32_t>(other.slots, 1));
    }
    const auto step = 1.0 / offer.slots;
    auto &served = cell.upstreams[offer.upstream->id].served;
    if (offers.size() > 1) {
        served = std::max(served, least - servedLagMax / fewest);
    }
    served += step;
}

} // namespace flamingograde
