/// Chooses what messages to other hosts carry beside their purpose.
#include "core/membership/gossip.h"

#include "core/blackboard.h"
#include "core/milliseconds.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace flamingograde {

namespace {

/// A dead host that the platform no longer lists is told of for this long.
constexpr Duration deadToldFor = std::chrono::seconds(30);

/// Stands for "the platform was never heard" on the wire.
constexpr auto unknownAge = std::numeric_limits<std::uint32_t>::max();

/// Hosts told at once of an urgent change.
constexpr std::size_t pushedTo = 8;

/// Returns the age of the platform's last word in the unit of the wire.
auto platformAgeMs(const Blackboard &board) -> std::uint32_t
{
    const auto ms = milliseconds(board.config.platformAge(board.now.mono));
    return ms > static_cast<std::int64_t>(unknownAge) ? unknownAge : static_cast<std::uint32_t>(ms);
}

/// Returns the part of the gossip to `host` that does not concern members.
auto makeBase(Blackboard &board, HostId host) -> Gossip
{
    Gossip gossip;
    gossip.loads = board.cells.ownLoads();
    gossip.revision = board.config.revision;
    gossip.tableDigest = board.config.digest;
    gossip.placements = board.config.placements.digest();
    gossip.agreed = board.config.placements.isAgreed();
    gossip.platformAgeMs = platformAgeMs(board);
    gossip.directory = board.directory.revision();
    gossip.readsFail = board.directoryReadsFail;
    gossip.linkUse = board.links.useOf(host);
    gossip.members = board.membership.digest();
    return gossip;
}

/// Returns the members with changes still to be told, those told least often first.
auto freshest(MembershipState &membership) -> std::vector<MemberRecord *>
{
    std::vector<MemberRecord *> fresh;
    for (auto &[id, record] : membership.records()) {
        if (record.tellings > 0) {
            fresh.push_back(&record);
        }
    }
    std::stable_sort(fresh.begin(), fresh.end(),
                     [](const auto *a, const auto *b) { return a->tellings > b->tellings; });
    if (fresh.size() > config::updatesPerMessage) {
        fresh.resize(config::updatesPerMessage);
    }
    return fresh;
}

/// Returns gossip of all members for which `isWanted` holds and that are still told of.
template<typename Predicate>
auto gossipOfMembers(Blackboard &board, HostId host, Predicate isWanted) -> Gossip
{
    auto gossip = makeBase(board, host);
    for (const auto &[id, record] : board.membership.records()) {
        if (isWanted(record.member) && isTold(board, record)) {
            gossip.updates.push_back(record.member);
        }
    }
    return gossip;
}

} // namespace

auto isTold(const Blackboard &board, const MemberRecord &record) -> bool
{
    if (record.member.state != MemberState::Dead || record.listed) {
        return true;
    }
    return board.now.mono - record.changed < deadToldFor;
}

auto sendPeer(Blackboard &board, HostId host, Message message) -> bool
{
    if (!board.membership.isConnected(host)) {
        return false;
    }
    ++board.stats.peerMessagesSent;
    board.act(SendPeer { host, std::move(message) });
    return true;
}

auto sendPeers(Blackboard &board, std::vector<HostId> hosts, Message message) -> void
{
    const auto isDown = [&](HostId host) { return !board.membership.isConnected(host); };
    hosts.erase(std::remove_if(hosts.begin(), hosts.end(), isDown), hosts.end());
    if (hosts.empty()) {
        return;
    }
    board.stats.peerMessagesSent += hosts.size();
    board.act(SendPeers { std::move(hosts), std::move(message) });
}

auto makeGossip(Blackboard &board, HostId host) -> Gossip
{
    auto gossip = makeBase(board, host);
    for (auto *record : freshest(board.membership)) {
        --record->tellings;
        gossip.updates.push_back(record->member);
    }
    const auto *receiver = board.membership.find(host);
    const auto isListed = [host](const Member &member) { return member.id == host; };
    if (receiver != nullptr && receiver->state != MemberState::Alive
        && std::none_of(gossip.updates.begin(), gossip.updates.end(), isListed)) {
        gossip.updates.push_back(*receiver);
    }
    return gossip;
}

auto makeFullGossip(Blackboard &board, HostId host) -> Gossip
{
    return gossipOfMembers(board, host, [](const Member &) { return true; });
}

auto sendZoneView(Blackboard &board, HostId host) -> void
{
    const auto isOwnZone = [zone = board.init.self.zone](const Member &member) {
        return member.zone == zone;
    };
    sendPeer(board, host, Ping { 0, gossipOfMembers(board, host, isOwnZone) });
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
    if (hosts.size() > pushedTo) {
        hosts.resize(pushedTo);
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
