/// Decides when this host becomes the home of a cell and when its tenure ends.
#include "core/homes/tenurecontroller.h"

#include "core/blackboard.h"

#include <algorithm>

namespace flamingograde {

namespace {

/// Returns whether this zone has another host that is not known to be dead.
auto hasOtherVoters(const Blackboard &board) -> bool
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
    this->endUnsafeTenures(board);
    if (const auto *received = std::get_if<PeerMessage>(&event)) {
        if (const auto *request = std::get_if<ClaimRequest>(&received->message)) {
            this->grantor.handleRequest(board, this->claimant, received->from, *request);
        }
        if (const auto *release = std::get_if<ClaimRelease>(&received->message)) {
            this->grantor.handleRelease(received->from, *release);
        }
        if (const auto *grant = std::get_if<ClaimGrant>(&received->message);
            grant != nullptr && this->mayClaim(board)) {
            this->claimant.handleGrant(board, received->from, *grant);
        }
    }
    const auto changed = this->zoneCellsRevision != board.config.revision
                         || this->reviewedVersion != board.membership.version();
    if (changed || std::holds_alternative<Tick>(event)) {
        this->review(board);
    }
}

auto TenureController::endUnsafeTenures(Blackboard &board) -> void
{
    const auto &membership = board.membership;
    if (this->handledPauses != membership.pauses) {
        this->handledPauses = membership.pauses;
        this->endAllTenures(board, "after a pause of the process");
    }
    if (this->handledDeaths != membership.presumedDeaths) {
        this->handledDeaths = membership.presumedDeaths;
        this->endAllTenures(board, "reported to be dead by another host");
    }
    if (hasOtherVoters(board) && membership.isIsolated(board.now.mono)) {
        this->endAllTenures(board, "cut off from all other hosts");
    }
}

auto TenureController::review(Blackboard &board) -> void
{
    this->reviewedVersion = board.membership.version();
    if (this->zoneCellsRevision != board.config.revision) {
        this->zoneCellsRevision = board.config.revision;
        this->zoneCells = cellsOfZone(board);
        std::vector<CellId> removed;
        for (const auto &[cell, tenure] : board.tenure.all()) {
            if (this->zoneCells.count(cell) == 0) {
                removed.push_back(cell);
            }
        }
        for (const auto cell : removed) {
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
    this->claimant.setWanted(board, wanted);
    this->claimant.advance(board);
    for (const auto &[cell, tenure] : board.tenure.all()) {
        this->grantor.discard(cell);
        const auto *former = board.membership.find(tenure.formerHome);
        if (former != nullptr && former->state == MemberState::Dead) {
            board.tenure.forgetFormer(tenure.formerHome);
        }
    }
    this->grantor.advance(board);
}

auto TenureController::endAllTenures(Blackboard &board, const char *why) -> void
{
    this->claimant.setWanted(board, {});
    this->grantor.clearLastHome();
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
    if (hasOtherVoters(board)) {
        return !board.membership.isIsolated(board.now.mono);
    }
    return board.membership.knowsFleet(board.now.mono);
}

} // namespace flamingograde
