/// Claims, their requests and their votes.
#include "core/claimant.h"

#include "core/blackboard.h"
#include "core/gossip.h"

#include <algorithm>
#include <iterator>

namespace flamingograde {

namespace {

/// Returns the hosts of the zone that must grant: all but this one that may be at work.
auto otherVoters(const Blackboard &board) -> std::vector<HostId>
{
    auto voters = board.membership.voters(board.init.self.zone);
    voters.erase(std::remove(voters.begin(), voters.end(), board.membership.self), voters.end());
    return voters;
}

/// Returns the one voter that was home of `cell` until it granted it; invalid for none or many.
auto formerHome(const Claim &claim, CellId cell) -> HostId
{
    HostId former;
    for (const auto &[host, vote] : claim.votes) {
        if (vote.held.count(cell) == 0) {
            continue;
        }
        if (former.isValid()) {
            return {};
        }
        former = host;
    }
    return former;
}

} // namespace

auto Claimant::want(Blackboard &board, const std::set<CellId> &cells) -> void
{
    std::set<CellId> missing;
    for (const auto cell : cells) {
        if (!board.tenure.since(cell) && !board.tenure.isClaiming(cell)) {
            missing.insert(cell);
        }
    }
    for (auto &[id, claim] : this->claims) {
        for (auto it = claim.cells.begin(); it != claim.cells.end();) {
            const auto wanted = cells.count(*it) != 0;
            board.tenure.setClaiming(*it, wanted);
            it = wanted ? std::next(it) : claim.cells.erase(it);
        }
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
        const auto over = board.now.mono - it->second.sentAt > config::pauseThreshold;
        it = over ? this->rounds.erase(it) : std::next(it);
    }
    for (auto it = this->claims.begin(); it != this->claims.end();) {
        auto &claim = it->second;
        this->begin(board, claim);
        if (claim.cells.empty()) {
            it = this->claims.erase(it);
            continue;
        }
        if (board.now.mono >= claim.nextRequest) {
            this->request(board, claim);
        }
        ++it;
    }
}

auto Claimant::granted(Blackboard &board, HostId from, const ClaimGrant &grant) -> void
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
        vote.granted[cell] = round->second.sentAt;
    }
    vote.held.insert(grant.held.begin(), grant.held.end());
    this->advance(board);
}

auto Claimant::drop(Blackboard &board, CellId cell) -> void
{
    board.tenure.setClaiming(cell, false);
    for (auto &[id, claim] : this->claims) {
        claim.cells.erase(cell);
    }
}

auto Claimant::nextNumber(const Blackboard &board) -> std::uint64_t
{
    const auto age = static_cast<std::uint64_t>(board.now.wall.time_since_epoch().count());
    this->lastNumber = std::max(this->lastNumber + 1, age);
    return this->lastNumber;
}

auto Claimant::request(Blackboard &board, Claim &claim) -> void
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

auto Claimant::begin(Blackboard &board, Claim &claim) -> void
{
    std::size_t begun = 0;
    for (auto it = claim.cells.begin(); it != claim.cells.end();) {
        if (!isGranted(board, claim, *it)) {
            ++it;
            continue;
        }
        board.tenure.begin(*it, { board.now.wall, formerHome(claim, *it) });
        ++begun;
        it = claim.cells.erase(it);
    }
    if (begun > 0) {
        board.stats.tenuresBegun += begun;
        board.log(LogEvent::TenureBegan, std::to_string(begun) + " cells");
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
