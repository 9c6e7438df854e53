/// Expected wait for a slot plus expected service time of a queued request.
#include "core/admission/timeneeded.h"

#include "core/admission/waitestimate.h"
#include "core/blackboard.h"
#include "core/placement/upstreamchoice.h"

#include <algorithm>

namespace flamingograde {

namespace {

/// Returns the time until the first of the upstreams offers a slot again; zero without upstreams.
auto timeUntilSlotOffered(const Blackboard &board, const std::vector<SlotOffer> &offers) -> Duration
{
    auto opens = MonoTime::max();
    for (const auto &offer : offers) {
        opens = std::min(opens, board.upstreams.availableAt(offer.upstream->id));
    }
    return offers.empty() ? Duration { 0 } : opens - board.now.mono;
}

/// Returns how long a bound `exchange` waits for a slot of the only upstream that may run it; zero
/// if it is not bound or that upstream offers no slots.
auto waitForBoundUpstream(Blackboard &board, const Cell &cell, const RowQueue &row,
                          const Exchange &exchange, const std::vector<SlotOffer> &offers)
        -> Duration
{
    const auto own = std::find_if(offers.begin(), offers.end(), [&](const auto &offer) {
        return offer.upstream->id == exchange.upstream;
    });
    if (!exchange.bound || own == offers.end() || own->slots == 0) {
        return Duration { 0 };
    }
    std::size_t before = own->running;
    for (const auto id : board.cells.waitingIn(cell.id)) {
        const auto *other = board.exchanges.find(id);
        before += other->bound && other->upstream == exchange.upstream && id != exchange.id ? 1 : 0;
    }
    return row.serviceTime.mean() * (before / own->slots);
}

} // namespace

auto timeNeeded(Blackboard &board, const Cell &cell, const RowQueue &row, const Exchange &exchange)
        -> std::optional<Duration>
{
    const auto offers = slotOffers(board, cell);
    if (offeredSlots(offers) == 0) {
        return timeUntilSlotOffered(board, offers);
    }
    const auto service = row.serviceTime.upperEstimate(board.now.mono);
    if (!service.has_value()) {
        return std::nullopt;
    }
    const auto ahead = row.waiting.size() - 1;
    const auto wait = expectedWait(cell, row, ahead, offers, board.now.mono);
    return std::max(wait, waitForBoundUpstream(board, cell, row, exchange, offers)) + *service;
}

} // namespace flamingograde
