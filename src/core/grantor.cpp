/// Votes on claims.
#include "core/grantor.h"

#include "core/blackboard.h"
#include "core/claimant.h"
#include "core/gossip.h"

#include <algorithm>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

/// Requests under way are waited for this long before a cell is granted.
constexpr Duration handoverTimeout = 1s;

/// Returns whether `from` asks every host of the zone that this one knows to be at work.
auto asksAll(const Blackboard &board, HostId from, const ClaimRequest &request) -> bool
{
    const auto &known = board.membership.voters(board.init.self.zone);
    return std::all_of(known.begin(), known.end(), [&](HostId host) {
        const auto &asked = request.voters;
        return host == from || std::find(asked.begin(), asked.end(), host) != asked.end();
    });
}

/// Returns whether nothing stands against saying that the cell is given up.
auto isFinished(const Blackboard &board, CellId cell, const Handover &handover) -> bool
{
    return board.cells.runningIn(cell) == 0 || board.now.mono - handover.since >= handoverTimeout;
}

} // namespace

auto Grantor::requested(Blackboard &board, Claimant &claimant, HostId from,
                        const ClaimRequest &request) -> void
{
    ClaimGrant grant;
    grant.round = request.round;
    const auto complete = asksAll(board, from, request);
    for (const auto cell : request.cells) {
        if (!complete || board.membership.homeOf(cell, board.init.self.zone) != from) {
            grant.refused.push_back(cell);
            continue;
        }
        claimant.drop(board, cell);
        auto &handover = this->handOver(board, from, request, cell);
        if (!isFinished(board, cell, handover)) {
            continue;
        }
        handover.granted = true;
        grant.granted.push_back(cell);
        if (handover.held) {
            grant.held.push_back(cell);
        }
    }
    if (!grant.refused.empty()) {
        sendZoneView(board, from);
    }
    if (!grant.refused.empty() || !grant.granted.empty()) {
        sendPeer(board, from, std::move(grant));
    }
}

auto Grantor::advance(Blackboard &board) -> void
{
    for (auto &[cell, handover] : this->handovers) {
        if (handover.granted || !isFinished(board, cell, handover)) {
            continue;
        }
        handover.granted = true;
        ClaimGrant grant;
        grant.round = handover.round;
        grant.granted = { cell };
        if (handover.held) {
            grant.held = { cell };
        }
        sendPeer(board, handover.to, std::move(grant));
    }
}

auto Grantor::handOver(Blackboard &board, HostId from, const ClaimRequest &request, CellId cell)
        -> Handover &
{
    const auto wasHome = board.tenure.end(cell);
    if (wasHome) {
        board.log(LogEvent::TenureEnded, "1 cell claimed by another host");
    }
    const auto [found, added] = this->handovers.try_emplace(cell);
    auto &handover = found->second;
    if (added || wasHome) {
        handover = Handover {};
        handover.since = board.now.mono;
        handover.held = wasHome;
    } else if (handover.claim != request.claim || handover.to != from) {
        handover.held = handover.held && !handover.granted;
        handover.granted = false;
    }
    handover.to = from;
    handover.claim = request.claim;
    handover.round = request.round;
    return handover;
}

} // namespace flamingograde
