/// Queueing, dispatch and refusal of the requests of the cells whose home is this host.
#include "core/admission/admissioncontroller.h"

#include "core/admission/fairorder.h"
#include "core/admission/timeneeded.h"
#include "core/admission/waitestimate.h"
#include "core/blackboard.h"
#include "core/homes/returntoplacement.h"
#include "core/placement/upstreamchoice.h"
#include "core/requests/dispatch.h"
#include "core/requests/refuse.h"

#include <algorithm>
#include <utility>

namespace flamingograde {

namespace {

auto clampRetryAfter(Duration pause) -> Duration
{
    return std::clamp<Duration>(pause, config::retryAfterMin, config::retryAfterMax);
}

/// Returns whether it is certain that the upstream no longer processes an ended request.
auto hasUpstreamFinished(const RunningRequest &request) -> bool
{
    return request.answered || request.notSent || request.notRun;
}

/// Replaces the slot time charged for an ended request by the time used, and adds the time to the
/// service time estimate of its row if the request was served or reached its deadline.
auto accountSlotTime(Blackboard &board, const RunningRequest &request) -> void
{
    auto &row = board.cells.cell(request.cell).rows[request.row];
    const auto used = board.now.mono - request.since;
    correctCharge(row, request.charged, used);
    const auto timedOut = request.deadline <= board.now.mono;
    const auto served = request.answered && !request.notRun && !request.failed;
    if (served || timedOut) {
        row.serviceTime.sample(std::min(used, request.deadline - request.since), board.now.mono);
    }
}

/// Refuses the newest waiting request of `row` because a queue is full. The retry-after time is the
/// expected time until the row's queue has room for it.
auto shedNewest(Blackboard &board, Cell &cell, RowQueue &row) -> void
{
    const auto offers = slotOffers(board, cell);
    const auto pause = expectedTimeToRoom(cell, row, offers, board.now.mono);
    ++row.refusedUnserved;
    refuse(board, *board.exchanges.find(row.waiting.back()), RefusalReason::QueueFull,
           clampRetryAfter(pause));
}

/// Returns the least urgent row with waiting requests; among equally urgent ones, the row with the
/// longest queue. Null if no request waits.
auto leastUrgentRow(Cell &cell) -> RowQueue *
{
    RowQueue *least = nullptr;
    for (auto &[id, row] : cell.rows) {
        if (row.waiting.empty()) {
            continue;
        }
        const auto less =
                least == nullptr || row.urgency < least->urgency
                || (row.urgency == least->urgency && row.waiting.size() > least->waiting.size());
        least = less ? &row : least;
    }
    return least;
}

/// Refuses `exchange`, the newest request of `row`, if its answer is not expected at least
/// `config::deadlineMargin` before its deadline.
auto refuseIfLate(Blackboard &board, const Cell &cell, const RowQueue &row, Exchange &exchange)
        -> void
{
    const auto needed = timeNeeded(board, cell, row, exchange);
    const auto remaining = exchange.deadline - board.now.mono;
    if (needed.has_value() && *needed + config::deadlineMargin >= remaining) {
        refuse(board, exchange, RefusalReason::DeadlineUnmet,
               clampRetryAfter(*needed - row.deadline));
    }
}

/// Enforces the queue limits of `row` and `cell` after one request was queued.
auto enforceBounds(Blackboard &board, Cell &cell, RowQueue &row) -> void
{
    if (row.waiting.size() > row.capacity) {
        shedNewest(board, cell, row);
    }
    if (cell.waiting > config::cellQueueMax) {
        shedNewest(board, cell, *leastUrgentRow(cell));
    }
}

/// Calls `returnToPlacement` for all waiting requests of a cell whose home is no longer this host.
auto giveBackWaiting(Blackboard &board, const Cell &cell) -> void
{
    for (const auto id : board.cells.waitingIn(cell.id)) {
        returnToPlacement(board, *board.exchanges.find(id));
    }
}

/// Updates, for gossip, which cells this host is home of and how many slots each cell offers.
auto updateSlotCounts(Blackboard &board) -> void
{
    for (auto &[id, cell] : board.cells.all()) {
        cell.isHomeHere = board.tenure.since(id).has_value();
        cell.slots = offeredSlots(slotOffers(board, cell));
    }
}

/// Passes to the key controller the repeats of a key that waited for its first request, if that
/// request was not run.
auto admitReleasedRepeats(Blackboard &board) -> void
{
    for (const auto id : board.keys.takeReleased()) {
        board.toAdmit.push_back(id);
    }
}

} // namespace

auto AdmissionController::handle(Blackboard &board, const Event &event) -> void
{
    const auto *progress = std::get_if<ExchangeProgress>(&event);
    if (progress != nullptr) {
        this->onProgress(board, *progress);
    }
    if (std::holds_alternative<Tick>(event)) {
        updateSlotCounts(board);
    }
}

auto AdmissionController::settle(Blackboard &board) -> void
{
    this->settleEnded(board);
    if (board.cells.revision != board.config.revision) {
        board.cells.revision = board.config.revision;
        board.cells.applyTable(board.table());
    }
    for (const auto id : std::exchange(board.toQueue, {})) {
        auto *exchange = board.exchanges.find(id);
        if (exchange != nullptr) {
            this->admit(board, *exchange);
        }
    }
    for (auto &[id, cell] : board.cells.all()) {
        this->settleCell(board, cell);
    }
    admitReleasedRepeats(board);
    board.stats.queued = board.cells.queued();
    board.stats.running = board.cells.running();
}

auto AdmissionController::onProgress(Blackboard &board, const ExchangeProgress &event) -> void
{
    const auto *request = board.cells.findRunning(event.exchange);
    const auto ended = event.progress != Progress::Answering;
    if (ended && request != nullptr && request->attempt == event.attempt) {
        board.cells.remove(event.exchange);
    }
}

auto AdmissionController::settleEnded(Blackboard &board) -> void
{
    for (const auto &request : board.cells.takeEnded()) {
        accountSlotTime(board, request);
        if (!hasUpstreamFinished(request)) {
            board.cells.linger(request, board.now.mono + config::cancelGrace);
        }
    }
}

auto AdmissionController::admit(Blackboard &board, Exchange &exchange) -> void
{
    const auto homed = board.tenure.since(exchange.cell).has_value();
    if (!homed && !board.tenure.isClaiming(exchange.cell)) {
        returnToPlacement(board, exchange);
        return;
    }
    const auto *row = board.table().row(exchange.row);
    if (row == nullptr) {
        refuse(board, exchange, RefusalReason::UnknownService, Duration { 0 });
        return;
    }
    if (!hasActiveUpstream(board, exchange.cell)) {
        refuse(board, exchange, RefusalReason::NoUpstream, config::retryAfterMin);
        return;
    }
    this->enqueueRequest(board, exchange, *row);
}

auto AdmissionController::enqueueRequest(Blackboard &board, Exchange &exchange, const Row &row)
        -> void
{
    const auto id = exchange.id;
    exchange.stage = Stage::Queued;
    auto &queue = board.cells.enqueue(exchange.cell, row, id);
    auto &cell = board.cells.cell(exchange.cell);
    const auto homed = board.tenure.since(cell.id).has_value();
    if (homed) {
        dispatchWaiting(board, cell);
    }
    if (homed && board.cells.isWaiting(id)) {
        refuseIfLate(board, cell, queue, exchange);
    }
    enforceBounds(board, cell, queue);
}

auto AdmissionController::settleCell(Blackboard &board, Cell &cell) -> void
{
    board.cells.freeLingering(cell, board.now.mono);
    cell.isHomeHere = board.tenure.since(cell.id).has_value();
    if (cell.isHomeHere) {
        dispatchWaiting(board, cell);
    } else if (cell.waiting > 0 && !board.tenure.isClaiming(cell.id)) {
        giveBackWaiting(board, cell);
    }
}

} // namespace flamingograde
