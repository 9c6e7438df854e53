/// Sends claims to the other hosts of the zone and evaluates their votes.
#include "core/homes/claimant.h"

#include "core/blackboard.h"
#include "core/membership/gossip.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace flamingograde {

namespace {

/// Returns the hosts that must grant a claim: all others of this zone that are not known to be
/// dead.
auto otherVoters(const Blackboard &board) -> std::vector<HostId>
{
    auto voters = board.membership.voters(board.init.self.zone);
    voters.erase(std::remove(voters.begin(), voters.end(), board.membership.self), voters.end());
    return voters;
}

/// Returns the tenure of `cell` that begins now. If exactly one voter was the home until it granted
/// the cell, the tenure inherits the keys that this voter handed over. If several voters report
/// that they were the home, none is trusted.
auto tenureOf(Blackboard &board, const Claim &claim, CellId cell) -> TenureState::Tenure
{
    TenureState::Tenure tenure { board.now.wall, {} };
    const CellKnowledge *knowledge = nullptr;
    for (const auto &[host, vote] : claim.votes) {
        const auto held = vote.held.find(cell);
        if (held == vote.held.end()) {
            continue;
        }
        if (knowledge != nullptr) {
            return { board.now.wall, {} };
        }
        tenure.formerHome = host;
        knowledge = &held->second;
    }
    if (knowledge == nullptr) {
        return tenure;
    }
    board.keys.inherit(cell, knowledge->keys, board.now.mono);
    const auto since = WallTime(Duration(knowledge->knownSinceUs));
    if (since < board.now.wall) {
        tenure.inherited = KnownFrom { since, knowledge->coveredRevision };
    }
    return tenure;
}

/// Records in `vote` that `cell` was granted. A former home that handed over no knowledge is
/// recorded with the latest possible time, so that nothing is inherited from it.
auto recordGrant(Vote &vote, const ClaimGrant &grant, CellId cell, MonoTime sentAt) -> void
{
    vote.granted[cell] = sentAt;
    vote.held.erase(cell);
    if (std::find(grant.held.begin(), grant.held.end(), cell) == grant.held.end()) {
        return;
    }
    const auto known = std::find_if(grant.knowledge.begin(), grant.knowledge.end(),
                                    [cell](const auto &entry) { return entry.cell == cell; });
    if (known != grant.knowledge.end()) {
        vote.held[cell] = *known;
        return;
    }
    vote.held[cell].knownSinceUs = std::numeric_limits<std::int64_t>::max();
}

} // namespace

auto Claimant::setWanted(Blackboard &board, const std::set<CellId> &cells) -> void
{
    std::set<CellId> missing;
    for (const auto cell : cells) {
        if (!board.tenure.since(cell) && !board.tenure.isClaiming(cell)) {
            missing.insert(cell);
        }
    }
    for (auto &[id, claim] : this->claims) {
        std::vector<CellId> unwanted;
        for (const auto cell : claim.cells) {
            if (cells.count(cell) == 0) {
                unwanted.push_back(cell);
            }
        }
        this->release(board, claim, unwanted);
    }
    if (missing.empty()) {
        return;
    }
    Claim claim;
    claim.id = this->nextNumber(board);
    claim.cells = missing;
    claim.nextRequest = board.now.mono;
    for (const auto cell : missing) {
        board.tenure.setClaiming(cell, true);
    }
    this->claims.emplace(claim.id, std::move(claim));
}

auto Claimant::advance(Blackboard &board) -> void
{
    for (auto it = this->rounds.begin(); it != this->rounds.end();) {
        const auto expired = board.now.mono - it->second.sentAt > config::pauseThreshold;
        it = expired ? this->rounds.erase(it) : std::next(it);
    }
    for (auto it = this->claims.begin(); it != this->claims.end();) {
        auto &claim = it->second;
        this->beginGranted(board, claim);
        if (claim.cells.empty()) {
            it = this->claims.erase(it);
            continue;
        }
        if (board.now.mono >= claim.nextRequest) {
            this->sendRequest(board, claim);
        }
        ++it;
    }
}

auto Claimant::handleGrant(Blackboard &board, HostId from, const ClaimGrant &grant) -> void
{
    const auto round = this->rounds.find(grant.round);
    if (round == this->rounds.end()) {
        return;
    }
    const auto found = this->claims.find(round->second.claim);
    if (found == this->claims.end()) {
        return;
    }
    auto &vote = found->second.votes[from];
    for (const auto cell : grant.refused) {
        vote.granted.erase(cell);
    }
    for (const auto cell : grant.granted) {
        recordGrant(vote, grant, cell, round->second.sentAt);
    }
    this->advance(board);
}

auto Claimant::drop(Blackboard &board, CellId cell) -> void
{
    for (auto &[id, claim] : this->claims) {
        if (claim.cells.count(cell) != 0) {
            this->release(board, claim, { cell });
        }
    }
}

auto Claimant::release(Blackboard &board, Claim &claim, const std::vector<CellId> &cells) -> void
{
    if (cells.empty()) {
        return;
    }
    for (const auto cell : cells) {
        board.tenure.setClaiming(cell, false);
        claim.cells.erase(cell);
    }
    for (const auto voter : otherVoters(board)) {
        sendPeer(board, voter, ClaimRelease { claim.id, cells });
    }
}

auto Claimant::nextNumber(const Blackboard &board) -> std::uint64_t
{
    const auto wallTime = static_cast<std::uint64_t>(board.now.wall.time_since_epoch().count());
    this->lastNumber = std::max(this->lastNumber + 1, wallTime);
    return this->lastNumber;
}

auto Claimant::sendRequest(Blackboard &board, Claim &claim) -> void
{
    claim.nextRequest = board.now.mono + config::probePeriod;
    ClaimRequest request;
    request.round = this->nextNumber(board);
    request.claim = claim.id;
    request.cells.assign(claim.cells.begin(), claim.cells.end());
    request.voters = otherVoters(board);
    this->rounds.emplace(request.round, Round { claim.id, board.now.mono });
    for (const auto voter : request.voters) {
        sendPeer(board, voter, request);
    }
}

auto Claimant::beginGranted(Blackboard &board, Claim &claim) -> void
{
    std::size_t begun = 0;
    for (auto it = claim.cells.begin(); it != claim.cells.end();) {
        if (!isGranted(board, claim, *it)) {
            ++it;
            continue;
        }
        board.tenure.begin(*it, tenureOf(board, claim, *it));
        ++begun;
        it = claim.cells.erase(it);
    }
    if (begun > 0) {
        board.stats.tenuresBegun += begun;
        board.log(LogEvent::TenureBegan, "cells=" + std::to_string(begun));
    }
}

auto Claimant::isGranted(const Blackboard &board, const Claim &claim, CellId cell) -> bool
{
    const auto voters = otherVoters(board);
    return std::all_of(voters.begin(), voters.end(), [&](HostId voter) {
        const auto vote = claim.votes.find(voter);
        if (vote == claim.votes.end()) {
            return false;
        }
        const auto granted = vote->second.granted.find(cell);
        return granted != vote->second.granted.end()
               && board.now.mono - granted->second <= config::pauseThreshold;
    });
}

} // namespace flamingograde
