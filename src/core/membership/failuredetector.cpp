/// Probes, indirect probes, suspicion and declaration of death.
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

/// How long the late answer to a probe is still accepted.
constexpr Duration probeRetention = 2s;

/// Period of indirect probes of a silent host, and the time after which it is suspected.
constexpr Duration indirectProbePeriod = 400ms;

/// If no host has answered for this long, additional hosts are probed.
constexpr Duration contactTimeout = 300ms;

/// Hosts of other zones that are probed after `contactTimeout`, in addition to those of the local
/// zone.
constexpr std::size_t otherZoneContactProbes = 3;

/// Returns whether `prober` can be asked to probe the host of `record`: it is connected with the
/// local host and should be connected with that one.
auto canProbeIndirectly(const Blackboard &board, const MemberRecord &prober,
                        const MemberRecord &record) -> bool
{
    if (!prober.connected || prober.member.id == record.member.id
        || prober.member.state > MemberState::Leaving) {
        return false;
    }
    const auto isSmallFleet = board.membership.records().size() <= config::flatMembershipHosts;
    return isSmallFleet || prober.member.zone == record.member.zone;
}

/// Returns up to `config::indirectProbes` hosts that can probe the host of `record`, chosen at
/// random, hosts of different zones first.
auto chooseIndirectProbers(Blackboard &board, const MemberRecord &record) -> std::vector<HostId>
{
    std::vector<const MemberRecord *> eligible;
    for (const auto &[id, prober] : board.membership.records()) {
        if (canProbeIndirectly(board, prober, record)) {
            eligible.push_back(&prober);
        }
    }
    std::shuffle(eligible.begin(), eligible.end(), board.random);
    std::set<ZoneId> zones;
    std::stable_partition(eligible.begin(), eligible.end(), [&](const auto *prober) {
        return zones.insert(prober->member.zone).second;
    });
    std::vector<HostId> probers;
    for (const auto *prober : eligible) {
        if (probers.size() == config::indirectProbes) {
            break;
        }
        probers.push_back(prober->member.id);
    }
    return probers;
}

} // namespace

auto FailureDetector::tick(Blackboard &board, const MeshLinks &mesh) -> void
{
    this->expireProbes(board);
    if (board.membership.isIsolated(board.now.mono)) {
        this->recordIsolation(board);
    }
    if (board.now.mono >= this->nextProbe) {
        this->nextProbe = board.now.mono + config::probePeriod;
        this->probeNext(board, mesh);
        this->probeUnawareHosts(board);
    }
    this->probeAfterLostContact(board);
    for (auto &[id, record] : board.membership.records()) {
        if (record.probeRequested) {
            record.probeRequested = false;
            this->probe(board, id, std::nullopt);
        }
        if (record.unanswered && record.member.state != MemberState::Dead) {
            this->updateState(board, record);
        }
    }
}

auto FailureDetector::onAck(Blackboard &board, const Ack &ack) -> void
{
    const auto found = this->probes.find(ack.sequence);
    if (found == this->probes.end()) {
        return;
    }
    const auto probe = found->second;
    this->probes.erase(found);
    board.membership.lastAnsweredProbeAt =
            std::max(board.membership.lastAnsweredProbeAt, probe.sentAt);
    if (auto *record = board.membership.record(probe.target)) {
        record->lastAckedProbeAt = std::max(record->lastAckedProbeAt, probe.sentAt);
    }
    if (probe.requester && !probe.expired) {
        sendPeer(board, probe.requester->host,
                 PingReport { probe.requester->sequence, probe.target, true });
    }
}

auto FailureDetector::onPingRequest(Blackboard &board, HostId from, const PingRequest &request)
        -> void
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

auto FailureDetector::onPingReport(Blackboard &board, const PingReport &report) -> void
{
    auto *record = board.membership.record(report.target);
    if (record == nullptr) {
        return;
    }
    if (!report.alive) {
        record->failureConfirmed = record->unanswered;
        return;
    }
    record->lastReportedAliveAt = board.now.mono;
    record->failureConfirmed = false;
    if (record->member.state < MemberState::Suspect) {
        record->unanswered = false;
    }
}

auto FailureDetector::markUnanswered(Blackboard &board, HostId host) -> void
{
    auto *record = board.membership.record(host);
    if (record == nullptr || record->unanswered) {
        return;
    }
    record->unanswered = true;
    record->failureConfirmed = false;
    record->unansweredSince = board.now.mono;
    record->nextIndirectProbe = board.now.mono;
}

auto FailureDetector::reset(Blackboard &board) -> void
{
    this->probes.clear();
    this->nextContactProbes = board.now.mono;
    for (auto &[id, record] : board.membership.records()) {
        record.unanswered = false;
        record.failureConfirmed = false;
        record.heard = board.now.mono;
        record.refusals = 0;
    }
}

auto FailureDetector::recordIsolation(Blackboard &board) -> void
{
    board.membership.lastIsolatedAt = board.now.mono;
    for (auto &[id, record] : board.membership.records()) {
        record.failureConfirmed = false;
    }
}

auto FailureDetector::probeNext(Blackboard &board, const MeshLinks &mesh) -> void
{
    const auto isProbed = [&](const MemberRecord &record) {
        return record.member.id != board.membership.self && mesh.wants(record.member.id)
               && (record.member.state != MemberState::Dead || record.connected);
    };
    if (this->roundTargets.empty()) {
        for (const auto &[id, record] : board.membership.records()) {
            if (isProbed(record)) {
                this->roundTargets.push_back(id);
            }
        }
        std::shuffle(this->roundTargets.begin(), this->roundTargets.end(), board.random);
    }
    while (!this->roundTargets.empty()) {
        const auto target = this->roundTargets.back();
        this->roundTargets.pop_back();
        const auto *record = board.membership.record(target);
        if (record != nullptr && isProbed(*record)) {
            this->probe(board, target, std::nullopt);
            return;
        }
    }
}

auto FailureDetector::probeUnawareHosts(Blackboard &board) -> void
{
    for (const auto &[id, record] : board.membership.records()) {
        if (record.connected && isInOwnZone(board, record)
            && record.member.state != MemberState::Dead && !knowsLocalHost(board, record)) {
            this->probe(board, id, std::nullopt);
        }
    }
}

auto FailureDetector::probeAfterLostContact(Blackboard &board) -> void
{
    const auto now = board.now.mono;
    if (now - board.membership.lastAnsweredProbeAt < contactTimeout
        || now < this->nextContactProbes) {
        return;
    }
    this->nextContactProbes = now + config::probePeriod;
    std::size_t otherZoneHosts = 0;
    for (const auto &[id, record] : board.membership.records()) {
        if (!record.connected || record.member.state > MemberState::Leaving) {
            continue;
        }
        if (isInOwnZone(board, record) || otherZoneHosts++ < otherZoneContactProbes) {
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
        this->extraMemberIndex = (this->extraMemberIndex + 1) % records.size();
        const auto &record =
                std::next(records.begin(), static_cast<std::ptrdiff_t>(this->extraMemberIndex))
                        ->second;
        if (shouldGossip(board, record)) {
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
                this->markUnanswered(board, probe.target);
            }
            if (probe.requester) {
                sendPeer(board, probe.requester->host,
                         PingReport { probe.requester->sequence, probe.target, false });
            }
        }
        it = now - probe.sentAt >= probeRetention ? this->probes.erase(it) : std::next(it);
    }
}

auto FailureDetector::requestIndirectProbes(Blackboard &board, const MemberRecord &record) -> void
{
    for (const auto prober : chooseIndirectProbers(board, record)) {
        sendPeer(board, prober, PingRequest { ++this->lastSequence, record.member.id });
    }
}

auto FailureDetector::updateState(Blackboard &board, MemberRecord &record) -> void
{
    const auto now = board.now.mono;
    if (now >= record.nextIndirectProbe) {
        record.nextIndirectProbe = now + indirectProbePeriod;
        this->requestIndirectProbes(board, record);
    }
    if (record.member.state < MemberState::Suspect) {
        if (now - record.unansweredSince >= indirectProbePeriod) {
            changeMember(board, record, MemberState::Suspect);
        }
        return;
    }
    if (isSilentLongEnough(board, record) && isDeathCredible(board, record)) {
        changeMember(board, record, MemberState::Dead);
    }
}

} // namespace flamingograde
