/// Graceful shutdown in steps: announce the stop, close the listeners, finish the work, report
/// ready.
#include "core/stop/stopcontroller.h"

#include "core/blackboard.h"
#include "core/requests/refuse.h"

#include <algorithm>

namespace flamingograde {

namespace {

auto beginStop(Blackboard &board) -> void
{
    if (board.stop.stopping) {
        return;
    }
    board.stop.stopping = true;
    board.stop.since = board.now.mono;
    board.log(LogEvent::StopBegan, "host=" + board.init.self.name);
}

auto closeListeners(Blackboard &board) -> void
{
    board.stop.listenersClosed = true;
    for (const auto &row : board.table().rows()) {
        board.addAction(Unlisten { row.address });
    }
}

/// Returns how many cells this host still has to hand over: those it is home of, or 0 if no other
/// host of its zone can be their home.
auto cellsToHandOver(const Blackboard &board) -> std::size_t
{
    const auto zone = board.init.self.zone;
    const auto &candidates = board.membership.candidates(zone);
    const auto hasSuccessor = std::any_of(candidates.begin(), candidates.end(),
                                          [&](HostId host) { return host != board.init.self.id; });
    if (!hasSuccessor) {
        return 0;
    }
    std::vector<CellId> cells;
    for (const auto &upstream : board.table().upstreams()) {
        if (upstream.zone == zone && board.tenure.since(upstream.cell())) {
            cells.push_back(upstream.cell());
        }
    }
    std::sort(cells.begin(), cells.end());
    return static_cast<std::size_t>(std::unique(cells.begin(), cells.end()) - cells.begin());
}

/// Returns whether the fabric may still send packets to this host: its health checks have not
/// failed for `config::fabricCheckTime` yet, or a packet arrived within `config::fabricIdleTime`.
/// Always false if this host steers no packets.
auto mayReceivePackets(const Blackboard &board) -> bool
{
    if (board.packets.flows.capacity() == 0) {
        return false;
    }
    const auto now = board.now.mono;
    return now - board.stop.since < config::fabricCheckTime
           || now - board.packets.lastPacket < config::fabricIdleTime;
}

/// Returns a list of the unfinished work for the log; empty if all is finished.
auto describeUnfinished(const Blackboard &board) -> std::string
{
    std::string text;
    const auto add = [&](std::size_t count, const char *what) {
        if (count > 0) {
            text += (text.empty() ? "" : ", ") + std::to_string(count) + ' ' + what;
        }
    };
    add(board.exchanges.size(), "requests");
    add(board.feeds.size(), "feeds");
    add(cellsToHandOver(board), "cells");
    add(mayReceivePackets(board) ? 1 : 0, "fabric that still sends packets");
    return text;
}

/// Refuses the remaining exchanges, each with the verdict that holds for it. Skips those whose
/// answer has begun or whose caller has left.
auto refuseRemaining(Blackboard &board) -> void
{
    std::vector<ExchangeId> ids;
    for (const auto &[id, exchange] : board.exchanges.all()) {
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    for (const auto id : ids) {
        auto &exchange = *board.exchanges.find(id);
        if (exchange.stage != Stage::Answering && !exchange.callerGone) {
            refuse(board, exchange, RefusalReason::Stopping, config::retryAfterMin);
        }
    }
}

auto finishStop(Blackboard &board, const std::string &left) -> void
{
    board.stop.ready = true;
    board.log(LogEvent::Stopped, "left=\"" + left + "\"");
    board.addAction(StopReady { left });
}

} // namespace

auto StopController::handle(Blackboard &board, const Event &event) -> void
{
    if (std::holds_alternative<StopRequested>(event)) {
        beginStop(board);
    }
    if (!board.stop.stopping || board.stop.ready || !std::holds_alternative<Tick>(event)) {
        return;
    }
    const auto elapsed = board.now.mono - board.stop.since;
    if (!board.stop.listenersClosed && elapsed >= config::stopNoticeTime) {
        this->listenersClosedAt = board.now.mono;
        closeListeners(board);
    }
    const auto left = describeUnfinished(board);
    if (board.stop.listenersClosed && left.empty()
        && board.now.mono - this->listenersClosedAt >= config::closeGrace) {
        return finishStop(board, left);
    }
    if (elapsed >= board.init.stopTimeout) {
        refuseRemaining(board);
        return finishStop(board, left);
    }
    if (board.now.mono - this->lastReported >= config::stopReportPeriod) {
        this->lastReported = board.now.mono;
        board.log(LogEvent::StopWaits, "for=\"" + left + "\"");
    }
}

} // namespace flamingograde
