/// Simulated fleet around one host.
#include "bigfleet.h"

#include "wire/messagecodec.h"

#include <limits>
#include <utility>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t firstIp = 0x0A100001;
constexpr auto wallClockStart = WallTime(Duration(1'800'000'000s));

} // namespace

BigFleet::BigFleet(std::size_t hosts, std::string table) : bench(std::move(table))
{
    this->addMembers(hosts);
    HostsFetched fetched;
    fetched.hosts = this->members;
    this->handleEvent(fetched);
    this->runFor(5s, 0);
    this->joinTraffic = std::exchange(this->traffic, {});
}

auto BigFleet::runFor(Duration time, double changesPerSecond) -> void
{
    const auto changesPerProbe =
            changesPerSecond * std::chrono::duration<double>(config::probePeriod).count();
    const auto end = this->passed + time;
    while (this->passed < end) {
        this->passed += config::tickPeriod;
        this->tick();
        if (this->passed % config::probePeriod == 0ms) {
            this->deliverProbe(this->drawMemberChanges(changesPerProbe));
        }
    }
}

auto BigFleet::addMembers(std::size_t hosts) -> void
{
    this->members.push_back(this->bench.self());
    for (std::size_t i = 1; i < hosts; ++i) {
        Member member;
        member.name = "zone-" + std::to_string(i % zones) + "-host-" + std::to_string(i / zones);
        member.id = HostId::ofName(member.name);
        member.zoneName = i % zones == 0 ? "z1" : "zone-" + std::to_string(i % zones);
        member.zone = ZoneId::ofName(member.zoneName);
        member.peer = { firstIp + static_cast<std::uint32_t>(i), 7001 };
        member.relay = { firstIp + static_cast<std::uint32_t>(i), 7002 };
        this->members.push_back(std::move(member));
    }
}

auto BigFleet::tick() -> void
{
    for (const auto host : std::exchange(this->pendingConnections, {})) {
        for (const auto &member : this->members) {
            if (member.id == host) {
                this->connectedHosts.push_back(host);
                this->handleEvent(PeerUp { member });
            }
        }
    }
    for (auto &event : std::exchange(this->pendingEvents, {})) {
        this->handleEvent(std::move(event));
    }
    this->bench.advance(config::tickPeriod);
    this->handleEvent(Tick {});
}

auto BigFleet::deliverProbe(std::vector<Member> changes) -> void
{
    if (this->connectedHosts.empty()) {
        return;
    }
    Ping ping;
    ping.sequence = ++this->lastSequence;
    ping.gossip = this->makeGossip();
    ping.gossip.updates = std::move(changes);
    const auto from = this->connectedHosts[this->random() % this->connectedHosts.size()];
    this->handleEvent(PeerMessage { from, std::move(ping) });
}

auto BigFleet::drawMemberChanges(double count) -> std::vector<Member>
{
    std::vector<Member> changes;
    this->pendingChanges += count;
    while (this->pendingChanges >= 1) {
        this->pendingChanges -= 1;
        auto &member = this->members[1 + this->random() % (this->members.size() - 1)];
        const auto age = wallClockStart.time_since_epoch() + this->passed;
        member.incarnation = static_cast<std::uint64_t>(age.count());
        changes.push_back(member);
    }
    return changes;
}

auto BigFleet::handlePlatformRead(PlatformRead read) -> void
{
    ++this->traffic.platformReads;
    if (this->platformReadsFail) {
        this->pendingEvents.emplace_back(PlatformFailed { read, "refused" });
    }
}

auto BigFleet::makeGossip() const -> Gossip
{
    Gossip gossip;
    gossip.revision = Revision { 1 };
    gossip.tableDigest = hashName(this->bench.table());
    gossip.platformAgeMs = this->platformReadsFail ? std::numeric_limits<std::uint32_t>::max()
                                                   : std::uint32_t { 0 };
    return gossip;
}

auto BigFleet::handleEvent(Event event) -> void
{
    for (const auto &action : this->bench.handleEvent(std::move(event))) {
        this->applyAction(action);
    }
}

auto BigFleet::applyAction(const Action &action) -> void
{
    if (const auto *connect = std::get_if<ConnectPeer>(&action)) {
        ++this->traffic.dials;
        if (this->dialled.insert(connect->host).second) {
            this->pendingConnections.push_back(connect->host);
        }
        return;
    }
    if (std::holds_alternative<ReadTable>(action)) {
        return this->handlePlatformRead(PlatformRead::Table);
    }
    if (std::holds_alternative<ReadHosts>(action)) {
        return this->handlePlatformRead(PlatformRead::Hosts);
    }
    const auto *sent = std::get_if<SendPeer>(&action);
    if (sent == nullptr) {
        return;
    }
    ++this->traffic.messages;
    this->traffic.bytes += encode(sent->message).size();
    const auto *ping = std::get_if<Ping>(&sent->message);
    if (ping != nullptr && ping->sequence != 0) {
        Ack ack;
        ack.sequence = ping->sequence;
        ack.gossip = this->makeGossip();
        this->pendingEvents.emplace_back(PeerMessage { sent->host, std::move(ack) });
    }
}

} // namespace flamingograde
