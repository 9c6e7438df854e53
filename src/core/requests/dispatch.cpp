/// Dispatch of a cell's queued requests to its upstreams.
#include "core/requests/dispatch.h"

#include "core/admission/fairorder.h"
#include "core/blackboard.h"
#include "core/placement/upstreamchoice.h"
#include "core/requests/refuse.h"

#include <algorithm>

namespace flamingograde {

namespace {

/// A queued request and the slot offer of the upstream that would run it.
struct Candidate
{
    RowQueue *row = nullptr;
    ExchangeId exchange;
    const SlotOffer *offer = nullptr;
};

/// Returns the slot offer to which a queued exchange can be dispatched now, or null. An exchange
/// bound to an upstream waits for a slot there; any other takes `bestOffer`.
auto offerFor(Exchange &exchange, const std::vector<SlotOffer> &offers, const SlotOffer *bestOffer)
        -> const SlotOffer *
{
    if (!exchange.bound) {
        return bestOffer;
    }
    const auto boundOffer =
            std::find_if(offers.begin(), offers.end(), [&exchange](const auto &offer) {
                return offer.upstream->id == exchange.upstream;
            });
    if (boundOffer == offers.end() || boundOffer->slots == 0) {
        exchange.bound = false; // Its upstream is draining, ejected or removed.
        return bestOffer;
    }
    return boundOffer->isFree() ? &*boundOffer : nullptr;
}

/// Returns the first request of `row` that can be dispatched now. The `exchange` of the result is
/// invalid if there is none.
auto firstDispatchable(Blackboard &board, RowQueue &row, const std::vector<SlotOffer> &offers,
                       const SlotOffer *bestOffer) -> Candidate
{
    for (const auto id : row.waiting) {
        auto *exchange = board.exchanges.find(id);
        const auto *offer = offerFor(*exchange, offers, bestOffer);
        if (offer != nullptr) {
            return { &row, id, offer };
        }
    }
    return {};
}

/// Returns the request to dispatch next in weighted fair order. The `exchange` of the result is
/// invalid if there is none.
auto nextCandidate(Blackboard &board, Cell &cell, const std::vector<SlotOffer> &offers) -> Candidate
{
    const auto *bestOffer = chooseUpstream(offers);
    std::vector<Candidate> candidates;
    std::vector<RowQueue *> ready;
    for (auto &[id, row] : cell.rows) {
        if (row.waiting.empty()) {
            continue;
        }
        const auto candidate =
                row.hasRoom() ? firstDispatchable(board, row, offers, bestOffer) : Candidate {};
        if (candidate.exchange.isValid()) {
            candidates.push_back(candidate);
            ready.push_back(&row);
        } else {
            // A row that has no request to dispatch now gets no credit for the turns it misses.
            row.startTag = std::max(row.startTag, cell.virtualTime);
        }
    }
    if (ready.empty()) {
        return {};
    }
    const auto *chosen = nextRow(cell, ready);
    return *std::find_if(candidates.begin(), candidates.end(),
                         [chosen](const auto &candidate) { return candidate.row == chosen; });
}

/// Returns whether the answer is expected at least `config::deadlineMargin` before the deadline.
auto canMeetDeadline(const Blackboard &board, const Exchange &exchange, const RowQueue &row) -> bool
{
    const auto remaining = exchange.deadline - board.now.mono;
    const auto expected = row.serviceTime.upperEstimate(board.now.mono).value_or(Duration { 0 });
    return remaining > expected + config::deadlineMargin;
}

/// Marks all waiting repeats of the request's idempotency key as possibly sent, because the key is
/// now dispatched.
auto markRepeatsMaybeSent(Blackboard &board, const Exchange &exchange) -> void
{
    for (const auto id : board.keys.dispatched(exchange.id, exchange.attempt, board.now)) {
        auto *repeat = board.exchanges.find(id);
        if (repeat != nullptr) {
            repeat->maybeSent = true;
        }
    }
}

/// Lowers `refusedUnserved` by one, because a dispatch has freed one place in the row's queue. Sets
/// `refusedUnserved` to 0 if the queue is empty, because a retry of a refused request then finds
/// room.
auto reduceTurnedAway(RowQueue &row) -> void
{
    const auto outstanding = row.waiting.empty() ? 0 : row.refusedUnserved;
    row.refusedUnserved = outstanding > 0 ? outstanding - 1 : 0;
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
    reduceTurnedAway(*candidate.row);
    countDispatch(cell, offers, *candidate.offer);
    markRepeatsMaybeSent(board, exchange);
    exchange.upstream = upstream.id;
    exchange.stage = Stage::Dispatched;
    exchange.maybeSent = true;
    ++board.stats.dispatched;
    board.addAction(dispatchOf(board, exchange, candidate.row->name, upstream));
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
    action.keepAnswer = !exchange.idempotent && !exchange.hasGeneratedKey;
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
        if (canMeetDeadline(board, exchange, *candidate.row)) {
            send(board, cell, candidate, offers);
        } else {
            refuse(board, exchange, RefusalReason::DeadlineUnmet, config::retryAfterMin);
        }
    }
}

} // namespace flamingograde
