/// Whether a deadline can be met, as far as measured times tell.
#include "core/admission/timeneeded.h"

#include "core/admission/waitestimate.h"
#include "core/blackboard.h"
#include "core/placement/upstreamchoice.h"

#include <algorithm>

namespace flamingograde {

namespace {

/// Returns how long it takes until the first of the upstreams offers a slot again.
auto timeToOpen(const Blackboard &board, const std::vector<SlotOffer> &offers) -> Duration
{
    auto opens = MonoTime::max();
    for (const auto &offer : offers) {
        opens = std::min(opens, board.upstreams.opensAt(offer.upstream->id));
    }
    return offers.empty() ? Duration { 0 } : opens - board.now.mono;
}

/// Returns how long `exchange` waits for the only upstream that may run it.
auto waitForBound(Blackboard &board, const Cell &cell, const RowQueue &row,
                  const Exchange &exchange, const std::vector<SlotOffer> &offers) -> Duration
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
    return row.serviceTime.cost() * (before / own->slots);
}

} // namespace

auto timeNeeded(Blackboard &board, const Cell &cell, const RowQueue &row, const Exchange &exchange)
        -> std::optional<Duration>
{
    const auto offers = slotOffers(board, cell);
    if (offeredSlots(offers) == 0) {
        return timeToOpen(board, offers);
    }
    const auto service = row.serviceTime.likely(board.now.mono);
    if (!service.has_value()) {
        return std::nullopt;
    }
    const auto ahead = row.waiting.size() - 1;
    const auto wait = expectedWait(cell, row, ahead, offers, board.now.mono);
    return std::max(wait, waitForBound(board, cell, row, exchange, offers)) + *service;
}

} // namespace flamingograde
