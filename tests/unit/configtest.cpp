/// Tests that all hosts get the newest table and never return to an older one.
#include "peerfleet.h"

#include "core/keys/keyplacement.h"

#include <catch2/catch.hpp>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

/// Starts two hosts in each zone, waits until all hosts have revision 1 and homes, and 3 s more.
auto startTwoHostsPerZone(PeerFleet &fleet) -> void
{
    fleet.publish(1, "first");
    for (const auto &zone : fleet.zones) {
        fleet.add(zone + "1", zone);
        fleet.add(zone + "2", zone);
    }
    REQUIRE(fleet.runUntil([&] { return fleet.haveRevision(1) && fleet.hasOneHomePerZone(); }, 6s));
    fleet.run(3s);
}

} // namespace

TEST_CASE("a new table reaches all hosts within a second through two readers per zone", "[fleet]")
{
    PeerFleet fleet(1);
    for (const auto *name : { "a3", "a4", "a5", "a6" }) {
        fleet.add(name, "a");
    }
    startTwoHostsPerZone(fleet);
    const auto before = fleet.platformCalls;
    fleet.run(60s);
    // Two readers in each of three zones: a host list every 2 s, a watch every 1.5 s, one call to
    // spare.
    CHECK(fleet.platformCalls - before <= 426U);
    fleet.publish(2, "second");
    REQUIRE(fleet.runUntil([&] { return fleet.haveRevision(2); }, 1s));
    CHECK(fleet.faults.empty());
    CHECK(fleet.board("a6").table().rows().front().name == "second");
}

TEST_CASE("an older table from the platform never replaces a newer one", "[fleet]")
{
    PeerFleet fleet(2);
    startTwoHostsPerZone(fleet);
    const auto old = fleet.board("a1").config.text;
    fleet.publish(2, "second");
    fleet.run(1s);
    const auto before = fleet.platformCalls;
    for (const auto &name : fleet.names()) {
        fleet.serve(name, 1, old);
    }
    fleet.run(20s);
    CHECK(fleet.haveRevision(2));
    // Six readers, each with at most two calls per second.
    CHECK(fleet.platformCalls - before <= 240U);
    fleet.kill("a1");
    fleet.start("a1");
    fleet.run(3s);
    CHECK(fleet.haveRevision(2));
    CHECK(fleet.board("b1").stats.tablesOlder > 0);
    CHECK(fleet.faults.empty());
}

TEST_CASE("a host keeps its first text of a revision until a higher revision replaces it",
          "[fleet]")
{
    PeerFleet fleet(3);
    startTwoHostsPerZone(fleet);
    const auto text = fleet.board("a1").config.text;
    fleet.serve("b1", 2, text + "# another operator\n");
    fleet.publish(2, "second");
    fleet.run(1s);
    CHECK(fleet.haveRevision(2));
    CHECK(fleet.board("b1").config.digest != fleet.board("a1").config.digest);
    fleet.run(4s);
    CHECK(fleet.board("b1").config.text == text + "# another operator\n");
    fleet.publish(3, "third");
    fleet.run(1s);
    REQUIRE(fleet.haveRevision(3));
    CHECK(fleet.board("b1").config.digest == fleet.board("a1").config.digest);
    CHECK(fleet.faults.empty());
}

TEST_CASE("hosts that cannot reach the platform get the table from other hosts", "[fleet]")
{
    PeerFleet fleet(4);
    startTwoHostsPerZone(fleet);
    fleet.platformDown = { "a1", "a2", "b1" };
    fleet.publish(2, "second");
    CHECK(fleet.runUntil([&] { return fleet.haveRevision(2); }, 1s));
    const auto names = fleet.names();
    fleet.platformDown = { names.begin(), names.end() };
    fleet.platformDown.insert("c3");
    const auto before = fleet.platformCalls;
    fleet.run(30s);
    // Six hosts, each with at most two calls per second.
    CHECK(fleet.platformCalls - before <= 360U);
    fleet.add("c3", "c", true);
    CHECK(fleet.runUntil([&] { return fleet.haveRevision(2); }, 2s));
    CHECK(fleet.runUntil([&] { return fleet.hasOneHomePerZone(); }, 3s));
    CHECK(fleet.faults.empty());
}

TEST_CASE(
        "a table with faults is refused at most once by a host and the previous one stays in force",
        "[fleet]")
{
    PeerFleet fleet(5);
    startTwoHostsPerZone(fleet);
    const auto before = fleet.platformCalls;
    for (const auto &name : fleet.names()) {
        fleet.serve(name, 2, "[[row]]\n");
    }
    fleet.run(20s);
    CHECK(fleet.haveRevision(1));
    // Six readers, each with a host list every 2 s, a watch every 1.5 s and two more reads.
    CHECK(fleet.platformCalls - before <= 156U);
    CHECK(fleet.board("a1").stats.tablesRefused <= 1);
    for (const auto &name : fleet.names()) {
        fleet.serve(name, 3, fleet.board("a1").config.text + "# mended\n");
    }
    fleet.run(1s);
    CHECK(fleet.haveRevision(3));
    CHECK(fleet.faults.empty());
}

TEST_CASE("hosts discover each other through seeds while the host list is out of date", "[fleet]")
{
    PeerFleet fleet(6);
    fleet.publish(1, "first");
    fleet.listLag = 10s;
    fleet.add("a1", "a");
    fleet.add("b1", "b", true);
    fleet.add("a2", "a", true);
    fleet.add("c1", "c", true);
    REQUIRE(fleet.runUntil([&] { return fleet.hasOneHomePerZone(); }, 4s));
    fleet.run(20s);
    CHECK(fleet.hasOneHomePerZone());
    CHECK(fleet.board("a1").membership.aliveCount() == 4);
    CHECK(fleet.faults.empty());
}

TEST_CASE(
        "the placement of a key moved by a new table is uncertain until no host uses the old table",
        "[fleet]")
{
    PeerFleet fleet(7);
    startTwoHostsPerZone(fleet);
    const auto service = ServiceId::ofName("pack");
    const auto &config = fleet.board("c1").config;
    const auto before = config.table;
    // Queries a key that is made once the table of the last edit applies to new keys.
    const auto placedSince = [&](const std::string &host, const std::string &key) {
        const auto &board = fleet.board(host);
        const auto birth = board.now.wall + config::placementDelay;
        return board.config.placements.find({ service, key, birth, board.now.wall }).since;
    };
    const auto isPlacementCertain = [&](const std::string &host, const std::string &key) {
        return placedSince(host, key) < fleet.board(host).now.wall;
    };
    CHECK(isPlacementCertain("c1", "k"));
    fleet.fault({ "a1", "a2" }, { "b1", "b2", "c1", "c2" }, LinkFault::Silent);
    fleet.platformDown = { "a1", "a2" };
    fleet.run(5s);
    fleet.zones.erase("b");
    fleet.publish(2, "second");
    fleet.run(5s);
    std::string movedKey = "k0";
    std::string unmovedKey = "k0";
    const auto isMovedByEdit = [&](const std::string &key) {
        return zoneOfKey(*before, service, key) != zoneOfKey(*config.table, service, key);
    };
    for (int i = 0; !isMovedByEdit(movedKey) || isMovedByEdit(unmovedKey); ++i) {
        (isMovedByEdit("k" + std::to_string(i)) ? movedKey : unmovedKey) = "k" + std::to_string(i);
    }
    CHECK(placedSince("c1", movedKey) == PlacementHistory::unknownSince);
    CHECK(isPlacementCertain("c1", unmovedKey));
    fleet.kill("c2");
    fleet.start("c2");
    fleet.run(5s);
    // A restarted host learns from other hosts which keys the edit moved.
    CHECK(placedSince("c2", movedKey) == PlacementHistory::unknownSince);
    CHECK(isPlacementCertain("c2", unmovedKey));
    CHECK(placedSince("c2", unmovedKey) == placedSince("c1", unmovedKey));
    fleet.heal();
    fleet.platformDown.clear();
    fleet.run(5s);
    CHECK(isPlacementCertain("c1", movedKey));
    CHECK(placedSince("c1", movedKey) > placedSince("c1", unmovedKey));
    CHECK(isPlacementCertain("c2", movedKey));
    CHECK(fleet.faults.empty());
}

TEST_CASE("an address that moves to another service is quarantined for 5 s", "[fleet]")
{
    PeerFleet fleet(8);
    startTwoHostsPerZone(fleet);
    auto text = fleet.board("a1").config.text;
    const auto at = text.find("service = \"pack\"\nzone = \"b\"");
    REQUIRE(at != std::string::npos);
    text.replace(at, 16, "service = \"desk\"");
    fleet.serve("a1", 2, text);
    fleet.run(1s);
    auto &board = fleet.board("c1");
    const auto movedUpstream = UpstreamId::ofName("up-b");
    CHECK(board.config.isQuarantined(movedUpstream, board.now.mono));
    CHECK_FALSE(board.config.isQuarantined(UpstreamId::ofName("up-a"), board.now.mono));
    fleet.serve("a1", 3, text + "# again\n");
    fleet.run(3s);
    CHECK(board.config.isQuarantined(movedUpstream, board.now.mono));
    fleet.run(2s);
    CHECK_FALSE(board.config.isQuarantined(movedUpstream, board.now.mono));
}

} // namespace flamingograde
