/// Probes, indirect probes, suspicion and death.
#include "core/membership/failuredetector.h"

#include "core/blackboard.h"
#include "core/membership/deathevidence.h"
#include "core/membership/gossip.h"
#include "core/membership/membermerge.h"
#include "core/membership/meshlinks.h"
#include "core/membership/ownzone.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr Duration probeKept = 2s;         ///< A late answer to a probe counts for this long.
constexpr Duration indirectPeriod = 400ms; ///< Others are asked this often about a silent host.
constexpr Duration contactPeriod = 300ms;  ///< Without an answer this long, more hosts are probed.
constexpr std::size_t contactProbes = 3;   ///< Hosts probed then beside those of the own zone.

/// Returns whether `host` can be asked to probe `record`'s host, and would be connected with it.
auto isHelper(const Blackboard &board, const MemberRecord &helper, const MemberRecord &record)
        -> bool
{
    if (!helper.connected || helper.member.id == record.member.id
        || helper.member.state > MemberState::Leaving) {
        return false;
    }
    const auto flat = board.membership.records().size() <= config::flatMembershipHosts;
    return flat || helper.member.zone == record.member.zone;
}

/// Returns up to `config::indirectProbes` helpers, drawn at random, of different zones first.
auto drawHelpers(Blackboard &board, const MemberRecord &record) -> std::vector<HostId>
{
    std::vector<const MemberRecord *> able;
    for (const auto &[id, helper] : board.membership.records()) {
        if (isHelper(board, helper, record)) {
            able.push_back(&helper);
        }
    }
    std::shuffle(able.begin(), able.end(), board.random);
    std::set<ZoneId> zones;
    std::stable_partition(able.begin(), able.end(), [&](const auto *helper) {
        return zones.insert(helper->member.zone).second;
    });
    std::vector<HostId> helpers;
    for (const auto *helper : able) {
        if (helpers.size() == config::indirectProbes) {
            break;
        }
        helpers.push_back(helper->member.id);
    }
    return helpers;
}

} // namespace

auto FailureDetector::tick(Blackboard &board, const MeshLinks &mesh) -> void
{
    this->expireProbes(board);
    if (board.membership.isIsolated(board.now.mono)) {
        this->noteIsolation(board);
    }
    if (board.now.mono >= this->nextProbe) {
        this->nextProbe = board.now.mono + config::probePeriod;
        this->probeNext(board, mesh);
        this->introduce(board);
    }
    this->keepContact(board);
    for (auto &[id, record] : board.membership.records()) {
        if (record.probeSoon) {
            record.probeSoon = false;
            this->probe(board, id, std::nullopt);
        }
        if (record.unanswered && record.member.state != MemberState::Dead) {
            this->judge(board, record);
        }
    }
}

auto FailureDetector::acked(Blackboard &board, const Ack &ack) -> void
{
    const auto found = this->probes.find(ack.sequence);
    if (found == this->probes.end()) {
        return;
    }
    const auto probe = found->second;
    this->probes.erase(found);
    board.membership.contactAt = std::max(board.membership.contactAt, probe.sentAt);
    if (auto *record = board.membership.record(probe.target)) {
        record->acked = std::max(record->acked, probe.sentAt);
    }
    if (probe.requester && !probe.expired) {
        sendPeer(board, probe.requester->host,
                 PingReport { probe.requester->sequence, probe.target, true });
    }
}

auto FailureDetector::requested(Blackboard &board, HostId from, const PingRequest &request) -> void
{
    const auto *record = board.membership.record(request.target);
    if (record == nullptr) {
        return;
    }
    if (record->connected) {
        this->probe(board, request.target, Requester { from, request.sequence });
        return;
    }
    if (record->unanswered) {
        sendPeer(board, from, PingReport { request.sequence, request.target, false });
    }
}

auto FailureDetector::reported(Blackboard &board, const PingReport &report) -> void
{
    auto *record = board.membership.record(report.target);
    if (record == nullptr) {
        return;
    }
    if (!report.alive) {
        record->confirmed = record->unanswered;
        return;
    }
    record->vouched = board.now.mono;
    record->confirmed = false;
    if (record->member.state < MemberState::Suspect) {
        record->unanswered = false;
    }
}

auto FailureDetector::unreachable(Blackboard &board, HostId host) -> void
{
    auto *record = board.membership.record(host);
    if (record == nullptr || record->unanswered) {
        return;
    }
    record->unanswered = true;
    record->confirmed = false;
    record->unansweredSince = board.now.mono;
    record->nextIndirect = board.now.mono;
}

auto FailureDetector::reset(Blackboard &board) -> void
{
    this->probes.clear();
    this->nextContact = board.now.mono;
    for (auto &[id, record] : board.membership.records()) {
        record.unanswered = false;
        record.confirmed = false;
        record.heard = board.now.mono;
        record.refusals = 0;
    }
}

auto FailureDetector::noteIsolation(Blackboard &board) -> void
{
    board.membership.isolatedAt = board.now.mono;
    for (auto &[id, record] : board.membership.records()) {
        record.confirmed = false;
    }
}

auto FailureDetector::probeNext(Blackboard &board, const MeshLinks &mesh) -> void
{
    const auto isProbed = [&](const MemberRecord &record) {
        return record.member.id != board.membership.self && mesh.wants(record.member.id)
               && (record.member.state != MemberState::Dead || record.connected);
    };
    if (this->ring.empty()) {
        for (const auto &[id, record] : board.membership.records()) {
            if (isProbed(record)) {
                this->ring.push_back(id);
            }
        }
        std::shuffle(this->ring.begin(), this->ring.end(), board.random);
    }
    while (!this->ring.empty()) {
        const auto target = this->ring.back();
        this->ring.pop_back();
        const auto *record = board.membership.record(target);
        if (record != nullptr && isProbed(*record)) {
            this->probe(board, target, std::nullopt);
            return;
        }
    }
}

auto FailureDetector::introduce(Blackboard &board) -> void
{
    for (const auto &[id, record] : board.membership.records()) {
        if (record.connected && isInOwnZone(board, record)
            && record.member.state != MemberState::Dead && !knowsUs(board, record)) {
            this->probe(board, id, std::nullopt);
        }
    }
}

auto FailureDetector::keepContact(Blackboard &board) -> void
{
    const auto now = board.now.mono;
    if (now - board.membership.contactAt < contactPeriod || now < this->nextContact) {
        return;
    }
    this->nextContact = now + config::probePeriod;
    std::size_t others = 0;
    for (const auto &[id, record] : board.membership.records()) {
        if (!record.connected || record.member.state > MemberState::Leaving) {
            continue;
        }
        if (isInOwnZone(board, record) || others++ < contactProbes) {
            this->probe(board, id, std::nullopt);
        }
    }
}

auto FailureDetector::probe(Blackboard &board, HostId target, std::optional<Requester> requester)
        -> void
{
    const auto sequence = ++this->lastSequence;
    this->probes.emplace(sequence, Probe { target, board.now.mono, requester });
    auto gossip = makeGossip(board, target);
    auto &records = board.membership.records();
    if (gossip.updates.size() < config::updatesPerMessage && !requester) {
        this->rotation = (this->rotation + 1) % records.size();
        const auto &record =
                std::next(records.begin(), static_cast<std::ptrdiff_t>(this->rotation))->second;
        if (isTold(board, record)) {
            gossip.updates.push_back(record.member);
        }
    }
    sendPeer(board, target, Ping { sequence, std::move(gossip) });
}

auto FailureDetector::expireProbes(Blackboard &board) -> void
{
    const auto now = board.now.mono;
    for (auto it = this->probes.begin(); it != this->probes.end();) {
        auto &probe = it->second;
        if (!probe.expired && now - probe.sentAt >= config::probeTimeout) {
            probe.expired = true;
            const auto *record = board.membership.record(probe.target);
            if (record != nullptr && record->heard < probe.sentAt) {
                this->unreachable(board, probe.target);
            }
            if (probe.requester) {
                sendPeer(board, probe.requester->host,
                         PingReport { probe.requester->sequence, probe.target, false });
            }
        }
        it = now - probe.sentAt >= probeKept ? this->probes.erase(it) : std::next(it);
    }
}

auto FailureDetector::askOthers(Blackboard &board, const MemberRecord &record) -> void
{
    for (const auto helper : drawHelpers(board, record)) {
        sendPeer(board, helper, PingRequest { ++this->lastSequence, record.member.id });
    }
}

auto FailureDetector::judge(Blackboard &board, MemberRecord &record) -> void
{
    const auto now = board.now.mono;
    if (now >= record.nextIndirect) {
        record.nextIndirect = now + indirectPeriod;
        this->askOthers(board, record);
    }
    if (record.member.state < MemberState::Suspect) {
        if (now - record.unansweredSince >= indirectPeriod) {
            changeMember(board, record, MemberState::Suspect);
        }
        return;
    }
    if (isSilentLongEnough(board, record) && isDeathCredible(board, record)) {
        changeMember(board, record, MemberState::Dead);
    }
}

} // namespace flamingograde
