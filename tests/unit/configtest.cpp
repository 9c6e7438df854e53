/// One table everywhere, and never an older one.
#include "peerfleet.h"

#include "core/keys/keyplacement.h"

#include <catch2/catch.hpp>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

/// Starts two hosts in each zone and waits until all have revision 1.
auto startFleet(PeerFleet &fleet) -> void
{
    fleet.publish(1, "first");
    for (const auto &zone : fleet.zones) {
        fleet.add(zone + "1", zone);
        fleet.add(zone + "2", zone);
    }
    REQUIRE(fleet.runUntil([&] { return fleet.haveRevision(1) && fleet.isHomed(); }, 6s));
    fleet.run(3s);
}

} // namespace

TEST_CASE("a table comes to all hosts at once, by few readers", "[fleet]")
{
    PeerFleet fleet(1);
    for (const auto *name : { "a3", "a4", "a5", "a6" }) {
        fleet.add(name, "a");
    }
    startFleet(fleet);
    const auto before = fleet.platformCalls;
    fleet.run(60s);
    // Two readers in each of three zones: a host list each 2 s, a watch each 1.5 s, one call over.
    CHECK(fleet.platformCalls - before <= 426U);
    fleet.publish(2, "second");
    REQUIRE(fleet.runUntil([&] { return fleet.haveRevision(2); }, 1s));
    CHECK(fleet.faults.empty());
    CHECK(fleet.board("a6").table().rows().front().name == "second");
}

TEST_CASE("an older table never comes back", "[fleet]")
{
    PeerFleet fleet(2);
    startFleet(fleet);
    const auto old = fleet.board("a1").config.text;
    fleet.publish(2, "second");
    fleet.run(1s);
    const auto before = fleet.platformCalls;
    for (const auto &name : fleet.names()) {
        fleet.serve(name, 1, old);
    }
    fleet.run(20s);
    CHECK(fleet.haveRevision(2));
    // Each of six readers: twice a second at most.
    CHECK(fleet.platformCalls - before <= 240U);
    fleet.kill("a1");
    fleet.start("a1");
    fleet.run(3s);
    CHECK(fleet.haveRevision(2));
    CHECK(fleet.board("b1").stats.tablesOlder > 0);
    CHECK(fleet.faults.empty());
}

TEST_CASE("of two texts with one revision the first one stays, and the next goes before both",
          "[fleet]")
{
    PeerFleet fleet(3);
    startFleet(fleet);
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

TEST_CASE("without the platform a table still comes from other hosts", "[fleet]")
{
    PeerFleet fleet(4);
    startFleet(fleet);
    fleet.platformDown = { "a1", "a2", "b1" };
    fleet.publish(2, "second");
    CHECK(fleet.runUntil([&] { return fleet.haveRevision(2); }, 1s));
    const auto names = fleet.names();
    fleet.platformDown = { names.begin(), names.end() };
    fleet.platformDown.insert("c3");
    const auto before = fleet.platformCalls;
    fleet.run(30s);
    // Each of six hosts: twice a second at most.
    CHECK(fleet.platformCalls - before <= 360U);
    fleet.add("c3", "c", true);
    CHECK(fleet.runUntil([&] { return fleet.haveRevision(2); }, 2s));
    CHECK(fleet.runUntil([&] { return fleet.isHomed(); }, 3s));
    CHECK(fleet.faults.empty());
}

TEST_CASE("a faulty table is told once, not taken and not spread", "[fleet]")
{
    PeerFleet fleet(5);
    startFleet(fleet);
    const auto before = fleet.platformCalls;
    for (const auto &name : fleet.names()) {
        fleet.serve(name, 2, "[[row]]\n");
    }
    fleet.run(20s);
    CHECK(fleet.haveRevision(1));
    // Each of six readers: a host list each 2 s, a watch each 1.5 s and two more reads.
    CHECK(fleet.platformCalls - before <= 156U);
    CHECK(fleet.board("a1").stats.tablesRefused <= 1);
    for (const auto &name : fleet.names()) {
        fleet.serve(name, 3, fleet.board("a1").config.text + "# mended\n");
    }
    fleet.run(1s);
    CHECK(fleet.haveRevision(3));
    CHECK(fleet.faults.empty());
}

TEST_CASE("hosts find each other although the list lags", "[fleet]")
{
    PeerFleet fleet(6);
    fleet.publish(1, "first");
    fleet.listLag = 10s;
    fleet.add("a1", "a");
    fleet.add("b1", "b", true);
    fleet.add("a2", "a", true);
    fleet.add("c1", "c", true);
    REQUIRE(fleet.runUntil([&] { return fleet.isHomed(); }, 4s));
    fleet.run(20s);
    CHECK(fleet.isHomed());
    CHECK(fleet.board("a1").membership.aliveCount() == 4);
    CHECK(fleet.faults.empty());
}

TEST_CASE("a key that a table moves waits until the old table is nowhere in force", "[fleet]")
{
    PeerFleet fleet(7);
    startFleet(fleet);
    const auto service = ServiceId::ofName("pack");
    const auto &config = fleet.board("c1").config;
    const auto before = config.table;
    // Of a key that is made when the table of the last edit places keys.
    const auto since = [&](const std::string &host, const std::string &key) {
        const auto &board = fleet.board(host);
        const auto birth = board.now.wall + config::placementDelay;
        return board.config.placements.find({ service, key, birth, board.now.wall }).since;
    };
    const auto isKnown = [&](const std::string &host, const std::string &key) {
        return since(host, key) < fleet.board(host).now.wall;
    };
    CHECK(isKnown("c1", "k"));
    fleet.fault({ "a1", "a2" }, { "b1", "b2", "c1", "c2" }, LinkFault::Silent);
    fleet.platformDown = { "a1", "a2" };
    fleet.run(5s);
    fleet.zones.erase("b");
    fleet.publish(2, "second");
    fleet.run(5s);
    std::string moved = "k0";
    std::string stayed = "k0";
    const auto isMoved = [&](const std::string &key) {
        return zoneOfKey(*before, service, key) != zoneOfKey(*config.table, service, key);
    };
    for (int i = 0; !isMoved(moved) || isMoved(stayed); ++i) {
        (isMoved("k" + std::to_string(i)) ? moved : stayed) = "k" + std::to_string(i);
    }
    CHECK(since("c1", moved) == PlacementHistory::never);
    CHECK(isKnown("c1", stayed));
    fleet.kill("c2");
    fleet.start("c2");
    fleet.run(5s);
    // A host that starts knows by the others which keys the edit moved.
    CHECK(since("c2", moved) == PlacementHistory::never);
    CHECK(isKnown("c2", stayed));
    CHECK(since("c2", stayed) == since("c1", stayed));
    fleet.heal();
    fleet.platformDown.clear();
    fleet.run(5s);
    CHECK(isKnown("c1", moved));
    CHECK(since("c1", moved) > since("c1", stayed));
    CHECK(isKnown("c2", moved));
    CHECK(fleet.faults.empty());
}

TEST_CASE("an address that changes its service rests", "[fleet]")
{
    PeerFleet fleet(8);
    startFleet(fleet);
    auto text = fleet.board("a1").config.text;
    const auto at = text.find("service = \"pack\"\nzone = \"b\"");
    REQUIRE(at != std::string::npos);
    text.replace(at, 16, "service = \"desk\"");
    fleet.serve("a1", 2, text);
    fleet.run(1s);
    auto &board = fleet.board("c1");
    const auto moved = UpstreamId::ofName("up-b");
    CHECK(board.config.isQuarantined(moved, board.now.mono));
    CHECK_FALSE(board.config.isQuarantined(UpstreamId::ofName("up-a"), board.now.mono));
    fleet.serve("a1", 3, text + "# again\n");
    fleet.run(3s);
    CHECK(board.config.isQuarantined(moved, board.now.mono));
    fleet.run(2s);
    CHECK_FALSE(board.config.isQuarantined(moved, board.now.mono));
}

} // namespace flamingograde
