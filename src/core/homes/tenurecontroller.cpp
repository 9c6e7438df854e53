/// When this host may be home of a cell, and when it must not be any more.
#include "core/homes/tenurecontroller.h"

#include "core/blackboard.h"

#include <algorithm>

namespace flamingograde {

namespace {

/// Returns whether this zone has another host that may be at work.
auto hasNeighbours(const Blackboard &board) -> bool
{
    return board.membership.voters(board.init.self.zone).size() > 1;
}

/// Returns the cells of this zone in the table in force.
auto cellsOfZone(const Blackboard &board) -> std::set<CellId>
{
    std::set<CellId> cells;
    for (const auto &upstream : board.table().upstreams()) {
        if (upstream.zone == board.init.self.zone) {
            cells.insert(upstream.cell());
        }
    }
    return cells;
}

} // namespace

auto TenureController::handle(Blackboard &board, const Event &event) -> void
{
    this->fence(board);
    if (const auto *received = std::get_if<PeerMessage>(&event)) {
        if (const auto *request = std::get_if<ClaimRequest>(&received->message)) {
            this->grantor.requested(board, this->claimant, received->from, *request);
        }
        if (const auto *release = std::get_if<ClaimRelease>(&received->message)) {
            this->grantor.released(received->from, *release);
        }
        if (const auto *grant = std::get_if<ClaimGrant>(&received->message);
            grant != nullptr && this->mayClaim(board)) {
            this->claimant.granted(board, received->from, *grant);
        }
    }
    const auto changed = this->cellsOf != board.config.revision
                         || this->reviewedVersion != board.membership.version();
    if (changed || std::holds_alternative<Tick>(event)) {
        this->review(board);
    }
}

auto TenureController::fence(Blackboard &board) -> void
{
    const auto &membership = board.membership;
    if (this->pauses != membership.pauses) {
        this->pauses = membership.pauses;
        this->endAll(board, "after a pause");
    }
    if (this->deaths != membership.deaths) {
        this->deaths = membership.deaths;
        this->endAll(board, "held to be dead");
    }
    if (hasNeighbours(board) && membership.isIsolated(board.now.mono)) {
        this->endAll(board, "cut off");
    }
}

auto TenureController::review(Blackboard &board) -> void
{
    this->reviewedVersion = board.membership.version();
    if (this->cellsOf != board.config.revision) {
        this->cellsOf = board.config.revision;
        this->zoneCells = cellsOfZone(board);
        std::vector<CellId> gone;
        for (const auto &[cell, tenure] : board.tenure.all()) {
            if (this->zoneCells.count(cell) == 0) {
                gone.push_back(cell);
            }
        }
        for (const auto cell : gone) {
            board.tenure.end(cell);
        }
    }
    std::set<CellId> wanted;
    if (this->mayClaim(board)) {
        for (const auto cell : this->zoneCells) {
            if (board.membership.homeOf(cell, board.init.self.zone) == board.membership.self) {
                wanted.insert(cell);
            }
        }
    }
    this->claimant.want(board, wanted);
    this->claimant.advance(board);
    for (const auto &[cell, tenure] : board.tenure.all()) {
        this->grantor.regained(cell);
        const auto *former = board.membership.find(tenure.former);
        if (former != nullptr && former->state == MemberState::Dead) {
            board.tenure.forgetFormer(tenure.former);
        }
    }
    this->grantor.advance(board);
}

auto TenureController::endAll(Blackboard &board, const char *why) -> void
{
    this->claimant.want(board, {});
    this->grantor.disown();
    std::vector<CellId> cells;
    for (const auto &[cell, tenure] : board.tenure.all()) {
        cells.push_back(cell);
    }
    for (const auto cell : cells) {
        board.tenure.end(cell);
    }
    if (!cells.empty()) {
        board.log(LogEvent::TenureEnded,
                  "cells=" + std::to_string(cells.size()) + " why=\"" + why + "\"");
    }
}

auto TenureController::mayClaim(const Blackboard &board) const -> bool
{
    if (hasNeighbours(board)) {
        return !board.membership.isIsolated(board.now.mono);
    }
    return board.membership.knowsFleet(board.now.mono);
}

} // namespace flamingograde
