/// Selects the gossip that is piggybacked on messages to other hosts.
#include "core/membership/gossip.h"

#include "core/blackboard.h"
#include "core/loadreports/demandreports.h"
#include "core/membership/messageclock.h"
#include "core/milliseconds.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace flamingograde {

namespace {

/// How long a dead host that the platform no longer lists is still gossiped.
constexpr Duration deadGossipPeriod = std::chrono::seconds(30);

/// Wire value for "the platform was never heard".
constexpr auto unknownAge = std::numeric_limits<std::uint32_t>::max();

/// Number of hosts that are sent an urgent change at once.
constexpr std::size_t pushFanout = 8;

/// Returns the time since the platform was last heard in milliseconds, as sent on the wire.
auto platformAgeMs(const Blackboard &board) -> std::uint32_t
{
    const auto ms = milliseconds(board.config.platformAge(board.now.mono));
    return ms > static_cast<std::int64_t>(unknownAge) ? unknownAge : static_cast<std::uint32_t>(ms);
}

/// Returns the time since the directory was last current in milliseconds; empty if unknown.
auto directoryAgeMs(const Blackboard &board) -> std::optional<std::uint32_t>
{
    const auto asOf = board.freshness.asOf();
    if (!asOf || !board.directory.revision().isValid()) {
        return std::nullopt;
    }
    const auto ms = milliseconds(board.now.mono - *asOf);
    return ms > static_cast<std::int64_t>(unknownAge)
                   ? std::nullopt
                   : std::optional(static_cast<std::uint32_t>(ms));
}

/// Returns gossip to `host` without any member updates.
auto makeGossipWithoutMembers(Blackboard &board, HostId host) -> Gossip
{
    Gossip gossip;
    gossip.loads = board.cells.ownLoads();
    gossip.revision = board.config.revision;
    gossip.tableDigest = board.config.digest;
    gossip.placements = board.config.placements.digest();
    gossip.agreed = board.config.placements.isAgreed();
    gossip.platformAgeMs = platformAgeMs(board);
    gossip.directory = board.directory.revision();
    gossip.directoryAgeMs = directoryAgeMs(board);
    if (board.init.readsDirectory) {
        const auto *record = board.membership.record(host);
        gossip.clockMs = clockToSend(board);
        gossip.echoMs = record != nullptr ? clockToEcho(board, record->link) : 0;
    }
    gossip.readsFail = board.directoryReadsFail;
    gossip.hasPart = board.directory.hasPart();
    gossip.linkUse = board.links.useOf(host);
    gossip.members = board.membership.digest();
    gossip.demand = demandReportsFor(board, host);
    return gossip;
}

/// Returns the members with changes still to be gossiped, those with the most sends left first; at
/// most `config::updatesPerMessage`.
auto selectChanges(MembershipState &membership) -> std::vector<MemberRecord *>
{
    std::vector<MemberRecord *> changedRecords;
    for (auto &[id, record] : membership.records()) {
        if (record.remainingGossipSends > 0) {
            changedRecords.push_back(&record);
        }
    }
    std::stable_sort(changedRecords.begin(), changedRecords.end(),
                     [](const auto *a, const auto *b) {
                         return a->remainingGossipSends > b->remainingGossipSends;
                     });
    if (changedRecords.size() > config::updatesPerMessage) {
        changedRecords.resize(config::updatesPerMessage);
    }
    return changedRecords;
}

/// Returns gossip to `host` with all members that satisfy `isWanted` and are still to be gossiped.
template<typename Predicate>
auto makeMemberGossip(Blackboard &board, HostId host, Predicate isWanted) -> Gossip
{
    auto gossip = makeGossipWithoutMembers(board, host);
    for (const auto &[id, record] : board.membership.records()) {
        if (isWanted(record.member) && shouldGossip(board, record)) {
            gossip.updates.push_back(record.member);
        }
    }
    return gossip;
}

} // namespace

auto shouldGossip(const Blackboard &board, const MemberRecord &record) -> bool
{
    if (record.member.state != MemberState::Dead || record.listed) {
        return true;
    }
    return board.now.mono - record.changed < deadGossipPeriod;
}

auto sendPeer(Blackboard &board, HostId host, Message message) -> bool
{
    if (!board.membership.isConnected(host)) {
        return false;
    }
    ++board.stats.peerMessagesSent;
    board.addAction(SendPeer { host, std::move(message) });
    return true;
}

auto sendPeers(Blackboard &board, std::vector<HostId> hosts, Message message) -> void
{
    const auto isDisconnected = [&](HostId host) { return !board.membership.isConnected(host); };
    hosts.erase(std::remove_if(hosts.begin(), hosts.end(), isDisconnected), hosts.end());
    if (hosts.empty()) {
        return;
    }
    board.stats.peerMessagesSent += hosts.size();
    board.addAction(SendPeers { std::move(hosts), std::move(message) });
}

auto makeGossip(Blackboard &board, HostId host) -> Gossip
{
    auto gossip = makeGossipWithoutMembers(board, host);
    for (auto *record : selectChanges(board.membership)) {
        --record->remainingGossipSends;
        gossip.updates.push_back(record->member);
    }
    const auto *receiver = board.membership.find(host);
    const auto isReceiver = [host](const Member &member) { return member.id == host; };
    if (receiver != nullptr && receiver->state != MemberState::Alive
        && std::none_of(gossip.updates.begin(), gossip.updates.end(), isReceiver)) {
        gossip.updates.push_back(*receiver);
    }
    return gossip;
}

auto makeFullGossip(Blackboard &board, HostId host) -> Gossip
{
    return makeMemberGossip(board, host, [](const Member &) { return true; });
}

auto sendZoneMembers(Blackboard &board, HostId host) -> void
{
    const auto isOwnZone = [zone = board.init.self.zone](const Member &member) {
        return member.zone == zone;
    };
    sendPeer(board, host, Ping { 0, makeMemberGossip(board, host, isOwnZone) });
}

auto pushGossip(Blackboard &board) -> void
{
    std::vector<HostId> hosts;
    for (const auto &[id, record] : board.membership.records()) {
        if (record.connected) {
            hosts.push_back(id);
        }
    }
    std::shuffle(hosts.begin(), hosts.end(), board.random);
    if (hosts.size() > pushFanout) {
        hosts.resize(pushFanout);
    }
    for (const auto host : hosts) {
        sendPeer(board, host, Ping { 0, makeGossip(board, host) });
    }
}

auto notePlatformAge(Blackboard &board, const Gossip &gossip) -> void
{
    if (gossip.platformAgeMs != unknownAge) {
        const Duration age = std::chrono::milliseconds(gossip.platformAgeMs);
        board.config.notePlatform(board.now.mono - age);
    }
}

auto gossipOf(const Message &message) -> const Gossip *
{
    if (const auto *hello = std::get_if<Hello>(&message)) {
        return &hello->gossip;
    }
    if (const auto *ping = std::get_if<Ping>(&message)) {
        return &ping->gossip;
    }
    if (const auto *ack = std::get_if<Ack>(&message)) {
        return &ack->gossip;
    }
    return nullptr;
}

} // namespace flamingograde
