/// Answers claims with grants or refusals.
#include "core/homes/grantor.h"

#include "core/blackboard.h"
#include "core/homes/claimant.h"
#include "core/keys/keyfreshness.h"
#include "core/membership/gossip.h"

#include <algorithm>
#include <utility>

namespace flamingograde {

namespace {

/// Returns whether `from` sent `request` to every host of the zone that must grant it in the
/// membership view of this host.
auto asksAllVoters(const Blackboard &board, HostId from, const ClaimRequest &request) -> bool
{
    const auto &known = board.membership.voters(board.init.self.zone);
    return std::all_of(known.begin(), known.end(), [&](HostId host) {
        const auto &asked = request.voters;
        return host == from || std::find(asked.begin(), asked.end(), host) != asked.end();
    });
}

/// Returns whether the cell may be granted: none of its requests runs on this host, or
/// `config::handoverTimeout` has elapsed since the handover began.
auto mayGrant(const Blackboard &board, CellId cell, const Handover &handover) -> bool
{
    return board.cells.runningIn(cell) == 0
           || board.now.mono - handover.since >= config::handoverTimeout;
}

/// Returns what this host, the home of `cell` until now, knows of its keys.
/// @param maxKeys the largest number of keys to return.
auto knowledgeOf(const Blackboard &board, CellId cell, const KnownFrom &atBegin,
                 std::size_t maxKeys) -> CellKnowledge
{
    auto known = knownFromNow(board, cell, atBegin);
    const auto after = board.now.wall - config::handoverWindow;
    auto keys = board.keys.handOver(cell, after, maxKeys, known.since);
    return { cell, known.since.time_since_epoch().count(), known.coveredRevision, std::move(keys) };
}

/// Adds `cell` to `grant`, with its keys if this host was its last home.
/// @param cells the number of cells that share the limit `config::handoverKeysMax`.
auto grantCell(const Blackboard &board, Handover &handover, CellId cell, std::size_t cells,
               ClaimGrant &grant) -> void
{
    handover.granted = true;
    grant.granted.push_back(cell);
    if (!handover.wasLastHome) {
        return;
    }
    const auto maxKeys = config::handoverKeysMax / cells;
    grant.held.push_back(cell);
    grant.knowledge.push_back(knowledgeOf(board, cell, handover.keysKnownFrom, maxKeys));
}

} // namespace

auto Grantor::handleRequest(Blackboard &board, Claimant &claimant, HostId from,
                            const ClaimRequest &request) -> void
{
    ClaimGrant grant;
    grant.round = request.round;
    const auto complete = asksAllVoters(board, from, request);
    for (const auto cell : request.cells) {
        if (!complete || board.membership.homeOf(cell, board.init.self.zone) != from) {
            grant.refused.push_back(cell);
            continue;
        }
        claimant.drop(board, cell);
        auto &handover = this->startHandover(board, from, request, cell);
        if (!mayGrant(board, cell, handover)) {
            continue;
        }
        grantCell(board, handover, cell, request.cells.size(), grant);
    }
    if (!grant.refused.empty()) {
        sendZoneMembers(board, from);
    }
    if (!grant.refused.empty() || !grant.granted.empty()) {
        sendPeer(board, from, std::move(grant));
    }
}

auto Grantor::advance(Blackboard &board) -> void
{
    for (auto &[cell, handover] : this->handovers) {
        if (!handover.to.isValid() || handover.granted || !mayGrant(board, cell, handover)) {
            continue;
        }
        ClaimGrant grant;
        grant.round = handover.round;
        grantCell(board, handover, cell, 1, grant);
        sendPeer(board, handover.to, std::move(grant));
    }
}

auto Grantor::handleRelease(HostId from, const ClaimRelease &release) -> void
{
    for (const auto cell : release.cells) {
        const auto found = this->handovers.find(cell);
        if (found == this->handovers.end()) {
            continue;
        }
        auto &handover = found->second;
        if (handover.to == from && handover.claim == release.claim) {
            handover.to = HostId();
            handover.granted = false;
        }
    }
}

auto Grantor::clearLastHome() -> void
{
    for (auto &[cell, handover] : this->handovers) {
        handover.wasLastHome = false;
    }
}

auto Grantor::startHandover(Blackboard &board, HostId from, const ClaimRequest &request,
                            CellId cell) -> Handover &
{
    const auto known = board.tenure.knownFrom(cell);
    const auto wasHome = board.tenure.end(cell);
    if (wasHome) {
        board.log(LogEvent::TenureEnded, "cells=1 why=\"claimed by another host\"");
    }
    const auto [found, added] = this->handovers.try_emplace(cell);
    auto &handover = found->second;
    if (added || wasHome) {
        handover = Handover {};
        handover.since = board.now.mono;
        handover.wasLastHome = wasHome;
        handover.keysKnownFrom = known.value_or(KnownFrom {});
    } else if (handover.claim != request.claim || handover.to != from) {
        handover.wasLastHome = handover.wasLastHome && !handover.granted;
        handover.granted = false;
    }
    handover.to = from;
    handover.claim = request.claim;
    handover.round = request.round;
    return handover;
}

} // namespace flamingograde
