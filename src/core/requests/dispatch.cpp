/// Sends waiting requests of a cell to its upstreams.
#include "core/requests/dispatch.h"

#include "core/admission/fairorder.h"
#include "core/blackboard.h"
#include "core/placement/upstreamchoice.h"
#include "core/requests/refuse.h"

#include <algorithm>

namespace flamingograde {

namespace {

/// A waiting request and the upstream it would run at.
struct Candidate
{
    RowQueue *row = nullptr;
    ExchangeId exchange;
    const SlotOffer *offer = nullptr;
};

/// Returns the offer at which a waiting exchange may run now, or null.
auto offerFor(Exchange &exchange, const std::vector<SlotOffer> &offers, const SlotOffer *best)
        -> const SlotOffer *
{
    if (!exchange.bound) {
        return best;
    }
    const auto own = std::find_if(offers.begin(), offers.end(), [&exchange](const auto &offer) {
        return offer.upstream->id == exchange.upstream;
    });
    if (own == offers.end() || own->slots == 0) {
        exchange.bound = false; // It drains, is ejected or gone: affinity ends.
        return best;
    }
    return own->isFree() ? &*own : nullptr;
}

/// Returns the first request of `row` that could run now; its `exchange` is invalid for none.
auto firstReady(Blackboard &board, RowQueue &row, const std::vector<SlotOffer> &offers,
                const SlotOffer *best) -> Candidate
{
    for (const auto id : row.waiting) {
        auto *exchange = board.exchanges.find(id);
        const auto *offer = offerFor(*exchange, offers, best);
        if (offer != nullptr) {
            return { &row, id, offer };
        }
    }
    return {};
}

/// Returns the request to be dispatched next; its `exchange` is invalid for none.
auto nextCandidate(Blackboard &board, Cell &cell, const std::vector<SlotOffer> &offers) -> Candidate
{
    const auto *best = chooseUpstream(offers);
    std::vector<Candidate> candidates;
    std::vector<RowQueue *> ready;
    for (auto &[id, row] : cell.rows) {
        if (row.waiting.empty()) {
            continue;
        }
        const auto candidate = row.hasRoom() ? firstReady(board, row, offers, best) : Candidate {};
        if (candidate.exchange.isValid()) {
            candidates.push_back(candidate);
            ready.push_back(&row);
        } else {
            row.startTag = std::max(row.startTag, cell.virtualTime); // No claim on missed turns.
        }
    }
    if (ready.empty()) {
        return {};
    }
    const auto *chosen = nextRow(cell, ready);
    return *std::find_if(candidates.begin(), candidates.end(),
                         [chosen](const auto &candidate) { return candidate.row == chosen; });
}

/// Returns whether the answer can still come in time.
auto canBeMet(const Blackboard &board, const Exchange &exchange, const RowQueue &row) -> bool
{
    const auto remaining = exchange.deadline - board.now.mono;
    const auto expected = row.serviceTime.likely(board.now.mono).value_or(Duration { 0 });
    return remaining > expected + config::deadlineMargin;
}

/// Notes on all repeats that their key is on its way.
auto markRepeats(Blackboard &board, const Exchange &exchange) -> void
{
    for (const auto id : board.keys.dispatched(exchange.id, exchange.attempt, board.now)) {
        auto *repeat = board.exchanges.find(id);
        if (repeat != nullptr) {
            repeat->maybeSent = true;
        }
    }
}

/// Counts a place of the row's queue that became free.
auto makeUpPlace(RowQueue &row) -> void
{
    const auto owed = row.waiting.empty() ? 0 : row.turnedAway;
    row.turnedAway = owed > 0 ? owed - 1 : 0;
}

auto send(Blackboard &board, Cell &cell, const Candidate &candidate,
          const std::vector<SlotOffer> &offers) -> void
{
    auto &exchange = *board.exchanges.find(candidate.exchange);
    const auto &upstream = *candidate.offer->upstream;
    RunningRequest request;
    request.exchange = exchange.id;
    request.attempt = exchange.attempt;
    request.cell = cell.id;
    request.row = candidate.row->row;
    request.upstream = upstream.id;
    request.since = board.now.mono;
    request.deadline = exchange.deadline;
    request.charged = chargeRow(*candidate.row);
    board.cells.start(request);
    makeUpPlace(*candidate.row);
    countServed(cell, offers, *candidate.offer);
    markRepeats(board, exchange);
    exchange.upstream = upstream.id;
    exchange.stage = Stage::Dispatched;
    exchange.maybeSent = true;
    ++board.stats.dispatched;
    board.act(dispatchOf(board, exchange, candidate.row->name, upstream));
}

} // namespace

auto dispatchOf(const Blackboard &board, const Exchange &exchange, const std::string &rowName,
                const Upstream &upstream) -> Dispatch
{
    Dispatch action;
    action.exchange = exchange.id;
    action.attempt = exchange.attempt;
    action.upstream = upstream.id;
    action.address = upstream.address;
    action.service = upstream.serviceName;
    action.rowName = rowName;
    action.key = exchange.key;
    action.freshConnection = !exchange.idempotent;
    action.keepAnswer = !exchange.idempotent && !exchange.ownKey;
    action.remaining = exchange.deadline - board.now.mono;
    action.expires = board.now.wall + action.remaining;
    return action;
}

auto dispatchWaiting(Blackboard &board, Cell &cell) -> void
{
    while (cell.waiting > 0) {
        const auto offers = slotOffers(board, cell);
        const auto candidate = nextCandidate(board, cell, offers);
        if (!candidate.exchange.isValid()) {
            return;
        }
        auto &exchange = *board.exchanges.find(candidate.exchange);
        if (canBeMet(board, exchange, *candidate.row)) {
            send(board, cell, candidate, offers);
        } else {
            refuse(board, exchange, RefusalReason::DeadlineUnmet, config::retryAfterMin);
        }
    }
}

} // namespace flamingograde
