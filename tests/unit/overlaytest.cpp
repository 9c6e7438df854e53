/// Connections, directory updates and membership of fleets of up to 300 packet-forwarding hosts.
#include "core/blackboard.h"
#include "core/membership/membermerge.h"
#include "core/overlay/linkchoice.h"
#include "core/overlay/zonehubs.h"
#include "overlayfleet.h"
#include "samplemember.h"

#include <flamingograde/config.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t zones = 6;
constexpr std::size_t zoneHosts = 50;
constexpr Duration settleTime = 10s;
/// Time within which a change of the rows reaches all hosts when none is faulty. It is part of the
/// 4 s within which a change has to be in force everywhere.
constexpr Duration updateBound = 500ms;
/// The same while hosts are down or cut off.
constexpr Duration updateBoundUnderFaults = 4s;
/// Most connections of a hub: hosts of its zone that chose it, the other hubs, and hosts of other
/// zones, both those it chose and those whose hubs chose it.
constexpr std::size_t hubConnections = 2 * config::hostsPerHub + config::hubsMin
                                       + (zones - 1) * (config::linksPerZone + config::hubsMin + 1);

/// The board of a host of zone "near" with a 20 Mbit/s link, to which known members can be added.
class BoardWithMembers
{
public:
    BoardWithMembers()
    {
        this->board.init.self = sampleMember("self", "near");
        this->board.init.self.linkMbps = 20;
        this->board.membership.self = this->board.init.self.id;
        addMember(this->board, this->board.init.self);
    }

    /// Adds a member to the view. @returns its record.
    auto addKnown(const std::string &name, const std::string &zone, std::uint32_t mbps)
            -> MemberRecord &
    {
        auto member = sampleMember(name, zone);
        member.linkMbps = mbps;
        auto &record = addMember(this->board, member);
        this->board.membership.refresh();
        return record;
    }

    Blackboard board { Init {} };
};

/// Returns the hosts of a zone without the first three, which have wide links.
auto narrowLinkHosts(const OverlayFleet &fleet, const std::string &zone) -> std::vector<std::size_t>
{
    auto hosts = fleet.hostsOf(zone);
    hosts.erase(hosts.begin(), hosts.begin() + 3);
    return hosts;
}

} // namespace

TEST_CASE("a zone has one hub per 24 hosts, but at least three if it has three hosts", "[overlay]")
{
    CHECK(hubsNeeded(0) == 0);
    CHECK(hubsNeeded(1) == 1);
    CHECK(hubsNeeded(2) == 2);
    CHECK(hubsNeeded(3) == 3);
    CHECK(hubsNeeded(72) == 3);
    CHECK(hubsNeeded(73) == 4);
    CHECK(hubsNeeded(344) == 15);
}

TEST_CASE("hosts with the widest links are hubs, except one that does not answer", "[overlay]")
{
    BoardWithMembers host;
    for (int i = 0; i < 20; ++i) {
        host.addKnown("narrow-" + std::to_string(i), "near", 20);
    }
    auto &first = host.addKnown("wide-1", "near", 200);
    host.addKnown("wide-2", "near", 200);
    host.addKnown("wide-3", "near", 200);
    const auto nameOf = [&](HostId id) { return host.board.membership.nameOf(id).substr(0, 4); };
    auto links = chooseLinks(host.board);
    REQUIRE(links.hubs.size() == 3);
    for (const auto hub : links.hubs) {
        CHECK(nameOf(hub) == "wide");
    }
    CHECK(links.wanted.size() == config::hubLinks);
    CHECK(links.useOf(links.feed) == LinkUse::Changes);

    first.unanswered = true;
    links = chooseLinks(host.board);
    CHECK_FALSE(links.isHub(first.member.id));
    CHECK(links.hubs.size() == 3);
}

TEST_CASE("a host that knows no other host of its zone connects with hosts of another zone",
          "[overlay]")
{
    BoardWithMembers host;
    host.addKnown("far-1", "far", 20);
    host.addKnown("far-2", "far", 20);
    host.addKnown("far-3", "far", 20);
    host.board.membership.refresh();
    const auto links = chooseLinks(host.board);
    CHECK(links.isHub(host.board.membership.self));
    CHECK(links.wanted.size() == config::linksPerZone);
}

TEST_CASE("300 hosts that start together open few connections and log few lines", "[overlay]")
{
    OverlayFleet fleet(zones, zoneHosts);
    fleet.run(settleTime);
    CHECK(fleet.isUpToDate());
    // Without batching of changes, each host logs one line for each host of the fleet: 300.
    CHECK(fleet.maxLinesPerHost() < 60);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        CHECK(fleet.knownHostCount(i) <= zoneHosts + (zones - 1) * (config::contactsPerZone + 3));
        CHECK(fleet.knownHostCount(i) >= zoneHosts);
    }
    for (std::size_t zone = 1; zone <= zones; ++zone) {
        for (const auto index : narrowLinkHosts(fleet, "zone-" + std::to_string(zone))) {
            CHECK(fleet.connectionCount(index) <= 4);
        }
        for (const auto index : fleet.hostsOf("zone-" + std::to_string(zone))) {
            CHECK(fleet.connectionCount(index) <= hubConnections);
        }
    }
}

TEST_CASE("changed rows reach 300 hosts within 500 ms with few store calls", "[overlay]")
{
    OverlayFleet fleet(zones, zoneHosts);
    fleet.run(settleTime);
    const auto calls = fleet.store.calls;
    const auto took = fleet.publishAndWait();
    REQUIRE(took);
    CHECK(*took <= updateBound);
    fleet.run(15s);
    // Two hosts watch the store with a call each 1.5 s, and each makes one more call for the
    // change. One watching host per zone would make more.
    CHECK(fleet.store.calls - calls <= 2 * 12);
}

TEST_CASE("hosts that start together make one store call each and few more", "[overlay]")
{
    OverlayFleet fleet(zones, zoneHosts);
    fleet.run(3s);
    // The emulated store counts a tenth of a call for an answer that may be late. The bound fails
    // if each host also watches the store until it is connected with others.
    CHECK(fleet.store.calls <= 0.1 * static_cast<double>(fleet.size()) + 20);
    CHECK(fleet.isUpToDate());
}

TEST_CASE("changes reach the other zones within 4 s, whichever two zones are cut off", "[overlay]")
{
    for (std::size_t first = 1; first <= zones; ++first) {
        for (auto second = first + 1; second <= zones; ++second) {
            OverlayFleet fleet(zones, 10);
            fleet.run(settleTime);
            const auto isCut = [&](std::size_t host) {
                const auto zone = fleet.host(host).place().zone;
                return zone == "zone-" + std::to_string(first)
                       || zone == "zone-" + std::to_string(second);
            };
            fleet.network.cutZone("zone-" + std::to_string(first), emulator::LinkFault::Silent);
            fleet.network.cutZone("zone-" + std::to_string(second), emulator::LinkFault::Silent);
            fleet.publish();
            fleet.run(updateBoundUnderFaults);
            const auto newest = fleet.store.revision().number;
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                INFO("cut: " << first << ", " << second << "; host " << i);
                CHECK((isCut(i) || fleet.host(i).balancer().stats().directoryRevision == newest));
            }
        }
    }
}

TEST_CASE(
        "changed rows reach the other hosts of a fleet in time when half of its hosts stand still",
        "[overlay][paused]")
{
    constexpr Duration rowsBound = 3s; // As in the users' settings.
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        OverlayFleet fleet(4, 25, seed);
        fleet.run(settleTime);
        std::vector<std::size_t> order(fleet.size());
        std::iota(order.begin(), order.end(), 0U);
        std::shuffle(order.begin(), order.end(), std::mt19937_64(seed));
        order.resize(fleet.size() / 2);
        for (const auto index : order) {
            fleet.host(index).freeze();
        }
        fleet.publish();
        const auto took = fleet.clock.runUntil([&] { return fleet.isUpToDate(); }, 20s);
        INFO("seed " << seed);
        REQUIRE(took);
        CHECK(took->count() <= rowsBound.count());
    }
}

TEST_CASE("few hosts call a platform that is down", "[overlay]")
{
    const auto mode = GENERATE(emulator::StoreMode::Silent, emulator::StoreMode::Refuses);
    OverlayFleet fleet(zones, zoneHosts);
    fleet.run(settleTime);
    const auto calls = fleet.store.calls;
    fleet.store.mode = mode;
    fleet.run(10s);
    // At most two calls a second by each hub, as the pause between calls is random between half a
    // second and a whole one, and by four other hosts of each zone. The bound fails if each of the
    // 300 hosts calls.
    CHECK(fleet.store.calls - calls <= 10.0 * zones * (2 * config::hubsMin + 4));
    fleet.store.mode = emulator::StoreMode::Answers;
    fleet.publish();
    const auto took = fleet.clock.runUntil([&] { return fleet.isUpToDate(); }, 20s);
    REQUIRE(took);
    CHECK(*took <= config::directoryRetryMax + updateBound);
}

TEST_CASE("changes reach a zone within 4 s although the platform refuses or ignores all its hubs",
          "[overlay]")
{
    const auto mode = GENERATE(emulator::StoreMode::Silent, emulator::StoreMode::Refuses);
    for (const auto pause : { Duration(0), Duration(3s) }) {
        OverlayFleet fleet(1, zoneHosts);
        fleet.run(settleTime);
        for (std::size_t hub = 0; hub < config::hubsMin; ++hub) {
            fleet.store.modeByHost[fleet.host(hub).name()] = mode;
        }
        fleet.run(pause);
        const auto took = fleet.publishAndWait();
        REQUIRE(took);
        CHECK(*took <= updateBoundUnderFaults);
    }
}

TEST_CASE("cutting off and reconnecting a zone causes no burst of messages or log lines",
          "[overlay]")
{
    OverlayFleet fleet(zones, zoneHosts);
    fleet.run(settleTime);
    const auto messagesIn = [&](Duration duration) {
        const auto before = fleet.mesh.messages;
        fleet.run(duration);
        return fleet.mesh.messages - before;
    };
    const auto withoutFault = messagesIn(8s);
    for (const auto fault : { emulator::LinkFault::Silent, emulator::LinkFault::Refuse }) {
        fleet.clearLogs();
        fleet.network.cutZone("zone-2", fault);
        const auto during = messagesIn(6s);
        fleet.network.heal("zone-2");
        const auto after = messagesIn(8s);
        INFO(withoutFault << " messages without a fault, " << during << " while cut off, " << after
                          << " after reconnection");
        // When suspicions were gossiped, there were 50,000 of them when a zone was cut off and
        // 72,000 when it was reconnected, each sent in several messages.
        CHECK(during <= withoutFault);
        CHECK(after <= withoutFault + withoutFault / 4);
        CHECK(fleet.maxLinesPerHost() <= 10);
        CHECK(fleet.logCount(LogEvent::MembersChanged) == 0);
        const auto took = fleet.publishAndWait();
        REQUIRE(took);
        CHECK(*took <= updateBound);
    }
}

TEST_CASE("changes reach connected zones at once, and a cut-off zone after it is reconnected",
          "[overlay]")
{
    OverlayFleet fleet(zones, zoneHosts);
    fleet.run(settleTime);
    fleet.network.cutZone("zone-3", emulator::LinkFault::Silent);
    fleet.run(6s);
    fleet.publish();
    fleet.run(updateBound);
    const auto newest = fleet.store.revision().number;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const auto zone = fleet.host(i).place().zone;
        CHECK((fleet.host(i).balancer().stats().directoryRevision == newest) == (zone != "zone-3"));
    }
    fleet.network.heal("zone-3");
    const auto took = fleet.clock.runUntil([&] { return fleet.isUpToDate(); }, 20s);
    REQUIRE(took);
    CHECK(*took <= 2s);
}

TEST_CASE("changed rows reach all running hosts although the hubs of a zone are killed, paused or "
          "stopped",
          "[overlay]")
{
    const auto *const how = GENERATE("kill", "power", "freeze", "stop");
    INFO(how);
    OverlayFleet fleet(zones, zoneHosts);
    fleet.run(settleTime);
    for (std::size_t i = 0; i < 3; ++i) {
        auto &hub = fleet.host(fleet.hostsOf("zone-4")[i]);
        const std::string kind = how;
        if (kind == "freeze") {
            hub.freeze();
        } else if (kind == "stop") {
            hub.stop(false);
        } else {
            hub.kill(kind == "power");
        }
    }
    const auto took = fleet.publishAndWait();
    REQUIRE(took);
    CHECK(*took <= updateBoundUnderFaults);
    fleet.run(5s);
    const auto again = fleet.publishAndWait();
    REQUIRE(again);
    CHECK(*again <= updateBound);
}

TEST_CASE("a power failure and restart of a sixth of all hosts causes no burst of log lines",
          "[overlay]")
{
    OverlayFleet fleet(zones, zoneHosts);
    fleet.run(settleTime);
    fleet.clearLogs();
    fleet.cyclePower(6, 3s);
    fleet.run(5s);
    // When every host checked every other one, each logged 160 lines for 42 killed hosts.
    CHECK(fleet.maxLinesPerHost() <= 40);
    CHECK(fleet.logCount(LogEvent::MemberRefuted) == 0);
    const auto took = fleet.publishAndWait();
    REQUIRE(took);
    CHECK(*took <= updateBound);
}

TEST_CASE("a host that ended for good is removed from the view of its zone, a paused one is not",
          "[overlay]")
{
    OverlayFleet fleet(2, 30);
    fleet.run(settleTime);
    const auto before = fleet.knownHostCount(10);
    fleet.host(5).kill(true);
    fleet.host(2).kill(true); // A hub.
    fleet.host(7).freeze();
    fleet.run(10s);
    fleet.host(7).wake();
    CHECK(fleet.knownHostCount(10) == before);
    fleet.run(90s);
    CHECK(fleet.knownHostCount(10) == before - 2);
    CHECK(fleet.knownHostCount(7) >= 28);
}

TEST_CASE("all hosts reconnect after a power failure of the whole fleet", "[overlay]")
{
    OverlayFleet fleet(zones, 20);
    fleet.run(settleTime);
    fleet.cyclePower(1, 900ms);
    fleet.run(5s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        CHECK(fleet.knownHostCount(i) >= 20);
        CHECK(fleet.connectionCount(i) >= 1);
    }
    const auto took = fleet.publishAndWait();
    REQUIRE(took);
    CHECK(*took <= updateBound);
}

TEST_CASE("an added host connects with hosts of its own zone although the seeds are of another",
          "[overlay]")
{
    OverlayFleet fleet(zones, 20);
    fleet.run(settleTime);
    const auto added = fleet.add("zone-6");
    fleet.run(3s);
    CHECK(fleet.knownHostCount(added) >= 21);
    CHECK(fleet.knownHostCount(fleet.hostsOf("zone-6").front()) >= 21);
    CHECK(fleet.connectionCount(added) >= config::hubLinks);
}

} // namespace flamingograde
