/// Tests of packet decisions: steering, placement, resets and drops.
#include "packetboard.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>
#include <unordered_set>
#include <vector>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

auto instanceOf(const PacketDecision &decision) -> std::uint64_t
{
    return decision.targets[0].instance.value();
}

/// Returns the removal of upstream 5, the only one of the service "papers", at revision 11.
auto removalOfUpstream5() -> DirectoryUpdate
{
    DirectoryUpdate update;
    update.after = { 10 };
    update.upTo = { 11 };
    update.removed = { { InstanceId(5), { 11 } } };
    return update;
}

} // namespace

TEST_CASE("a new flow goes to an upstream of the host's zone, with that upstream's bound cookie",
          "[packets]")
{
    PacketBoard host;
    std::set<std::uint64_t> used;
    for (std::uint16_t port = 1; port <= 60; ++port) {
        const auto decision = host.open(port);
        REQUIRE(decision.verdict == PacketVerdict::Forward);
        CHECK(decision.reason == PacketReason::Placed);
        REQUIRE(decision.targetCount == 1);
        CHECK(decision.targets[0].cookie
              == Cookie::of(decision.targets[0].instance).bound(feedAddress));
        used.insert(instanceOf(decision));
        host.acknowledge(port, decision.targets[0].cookie);
    }
    CHECK(used == std::set<std::uint64_t> { 1, 2, 3 });
}

TEST_CASE("new flows are spread evenly in the zone up to three requests per slot, then go to other "
          "zones",
          "[packets]")
{
    PacketBoard host;
    std::map<std::uint64_t, int> counts;
    for (std::uint16_t port = 1; port <= 18; ++port) {
        ++counts[instanceOf(host.open(port))];
    }
    CHECK(counts == std::map<std::uint64_t, int> { { 1, 6 }, { 2, 6 }, { 3, 6 } });
    for (std::uint16_t port = 19; port <= 60; ++port) {
        CHECK(instanceOf(host.open(port)) == 4);
    }
    // Once fewer requests are pending, the host's zone is used again.
    host.acknowledge(1, Cookie::of(InstanceId(1)));
    CHECK(instanceOf(host.open(61)) < 4);
}

TEST_CASE("uploads stay in the zone up to four requests per slot", "[packets]")
{
    PacketBoard host;
    auto row = packetRow("papers", papersAddress, "live");
    row.kind = RequestKind::Upload;
    host.takeRows({ row });
    for (std::uint16_t port = 1; port <= 24; ++port) {
        CHECK(instanceOf(host.open(port, papersAddress)) < 4);
    }
    CHECK(instanceOf(host.open(25, papersAddress)) == 4);
}

TEST_CASE("a host estimates the load of its zone as its own requests times the number of hosts of "
          "the zone",
          "[packets]")
{
    PacketBoard host;
    auto &membership = host.board.membership;
    membership.self = HostId::ofName("host");
    for (const auto *name : { "host", "second", "third" }) {
        auto &member = membership.records()[HostId::ofName(name)].member;
        member.id = HostId::ofName(name);
        member.zone = ZoneId::ofName("a");
    }
    membership.invalidateLookups();
    membership.refresh();
    host.board.init.self.zone = ZoneId::ofName("a");
    // With three hosts, six requests of this one count as eighteen for the zone's six slots.
    for (std::uint16_t port = 1; port <= 6; ++port) {
        CHECK(instanceOf(host.open(port)) < 4);
    }
    CHECK(instanceOf(host.open(7)) == 4);
}

TEST_CASE("an evacuated zone keeps its open flows, and new flows and opening copies go to other "
          "zones",
          "[packets]")
{
    PacketBoard host;
    const auto first = host.open(7);
    REQUIRE(instanceOf(first) < 4);
    host.evacuate("a", 11);
    for (std::uint16_t port = 20; port <= 40; ++port) {
        CHECK(instanceOf(host.open(port)) == 4);
    }
    CHECK(instanceOf(host.open(7, feedAddress, 1)) == 4);
    const auto open = host.acknowledge(9, Cookie::of(InstanceId(2)));
    CHECK(open.reason == PacketReason::Steered);
    CHECK(instanceOf(open) == 2);
}

TEST_CASE("new flows and copies of opening packets are reset while all zones are evacuated",
          "[packets]")
{
    PacketBoard host;
    const auto waiting = host.open(7);
    REQUIRE(waiting.verdict == PacketVerdict::Forward);
    host.entry(1).evidence.silentSince = host.board.now.mono;
    host.board.directory.invalidatePools();
    host.evacuate("a", 11);
    host.evacuate("b", 12);
    const auto refused = host.open(8);
    CHECK(refused.verdict == PacketVerdict::Reset);
    CHECK(refused.reason == PacketReason::NoUpstream);
    // If the first packet was lost, the copy would open a new flow in an evacuated zone.
    CHECK(host.open(7, feedAddress, 1).verdict == PacketVerdict::Reset);
}

TEST_CASE("a host that has no rows yet drops packets of open flows and opening packets",
          "[packets]")
{
    Init init;
    init.readsDirectory = true;
    init.flowsTracked = 8;
    Blackboard board(init);
    board.now.mono += 100s;
    const auto packet = PacketBoard::following(7, Cookie::of(InstanceId(1)), feedAddress);
    const auto open = steerPacket(board, packet);
    CHECK(open.verdict == PacketVerdict::Drop);
    CHECK(open.reason == PacketReason::NoRow);
    const auto opening = steerPacket(board, PacketBoard::opening(8, feedAddress, 0));
    CHECK(opening.verdict == PacketVerdict::Drop);
    CHECK(opening.reason == PacketReason::NoRow);
}

TEST_CASE("a host that never saw a flow steers its packets by their cookie", "[packets]")
{
    PacketBoard host;
    const auto decision = host.acknowledge(9, Cookie::of(InstanceId(4)));
    CHECK(decision.verdict == PacketVerdict::Forward);
    CHECK(decision.reason == PacketReason::Steered);
    CHECK(instanceOf(decision) == 4);
    CHECK(decision.targets[0].address == host.entry(4).record.upstream.address);
}

TEST_CASE("packets with an unknown cookie, none or one of another service are dropped", "[packets]")
{
    PacketBoard host;
    const auto unknown = host.acknowledge(9, Cookie { 0xdeadbeef });
    CHECK(unknown.verdict == PacketVerdict::Drop);
    CHECK(unknown.reason == PacketReason::CookieUnknown);
    const auto none = host.acknowledge(9, Cookie());
    CHECK(none.verdict == PacketVerdict::Drop);
    const auto foreign = host.acknowledge(9, Cookie::of(InstanceId(5)));
    CHECK(foreign.verdict == PacketVerdict::Drop);
    CHECK(foreign.reason == PacketReason::CookieOfAnother);
}

TEST_CASE("no packet with a forged cookie reaches a service that its row never had", "[packets]")
{
    PacketBoard host;
    for (std::uint64_t cookie = 0; cookie < 2000; ++cookie) {
        const Cookie forged { static_cast<std::uint32_t>(cookie) };
        for (const auto address : { feedAddress, papersAddress }) {
            const auto decision = host.acknowledge(9, forged, address);
            for (std::size_t i = 0; i < decision.targetCount; ++i) {
                const auto &entry = host.entry(decision.targets[i].instance.value());
                const auto service = address == feedAddress ? "live" : "papers";
                REQUIRE(entry.record.upstream.serviceName == service);
            }
        }
    }
}

TEST_CASE("an open flow keeps its upstream when its row moves to another service", "[packets]")
{
    PacketBoard host;
    host.takeRows({ packetRow("feed", feedAddress, "papers") });
    CHECK(host.acknowledge(9, Cookie::of(InstanceId(1))).reason == PacketReason::Steered);
    CHECK(instanceOf(host.open(10)) == 5);
}

TEST_CASE("a new flow to an address without a row is reset, and resets are dropped", "[packets]")
{
    PacketBoard host;
    const Address other { 0xc6120009, 8443 };
    const auto opening = host.open(9, other);
    CHECK(opening.verdict == PacketVerdict::Reset);
    CHECK(opening.reason == PacketReason::NoRow);
    auto reset = PacketBoard::following(9, Cookie::of(InstanceId(1)), other);
    reset.flags.resets = true;
    CHECK(host.steer(reset).verdict == PacketVerdict::Drop);
}

// Guards against resetting flows on a row that this host gets to know later than the host through
// which they were opened.
TEST_CASE("a packet of an open flow on a row that this host has never had is dropped", "[packets]")
{
    PacketBoard host;
    const Address other { 0xc6120009, 8443 };
    const auto early = host.acknowledge(9, Cookie::of(InstanceId(1)), other);
    CHECK(early.verdict == PacketVerdict::Drop);
    CHECK(early.reason == PacketReason::NoRow);
    host.takeRows({ packetRow("feed", feedAddress, "live"), packetRow("new", other, "live") });
    CHECK(host.acknowledge(9, Cookie::of(InstanceId(1)), other).reason == PacketReason::Steered);
}

TEST_CASE("the flows that this host carried on a row that was removed are reset", "[packets]")
{
    PacketBoard host;
    const auto cookie = Cookie::of(InstanceId(5));
    REQUIRE(host.open(9, papersAddress).verdict == PacketVerdict::Forward);
    host.takeRows({ packetRow("feed", feedAddress, "live") });
    const auto carried = host.acknowledge(9, cookie, papersAddress);
    CHECK(carried.verdict == PacketVerdict::Reset);
    CHECK(carried.reason == PacketReason::NoRow);
    // The row may be back, and the flow open through a host that has newer rows.
    CHECK(host.acknowledge(10, cookie, papersAddress).verdict == PacketVerdict::Drop);
}

// Guards against resetting open flows of an upstream whose lease lapsed behind a network cut and
// that cannot register again because the platform is away.
TEST_CASE("an open flow of a removed upstream goes on while the upstream may be registered again",
          "[packets]")
{
    PacketBoard host;
    host.take(removalOfUpstream5());
    const auto cookie = Cookie::of(InstanceId(5));
    REQUIRE(host.acknowledge(9, cookie, papersAddress).verdict == PacketVerdict::Reset);
    host.advance(config::directoryStale + 1ms);
    CHECK(instanceOf(host.acknowledge(9, cookie, papersAddress)) == 5);
    const auto returned = host.board.now.mono;
    host.board.freshness.noteOutageEnd(returned);
    host.board.freshness.noteRead(returned);
    CHECK(instanceOf(host.acknowledge(9, cookie, papersAddress)) == 5);
    host.advance(host.board.directory.reappearTime());
    CHECK(host.acknowledge(9, cookie, papersAddress).verdict == PacketVerdict::Reset);
}

TEST_CASE("a new or open flow whose only upstream was removed is reset", "[packets]")
{
    PacketBoard host;
    host.take(removalOfUpstream5());
    const auto decision = host.open(9, papersAddress);
    CHECK(decision.verdict == PacketVerdict::Reset);
    CHECK(decision.reason == PacketReason::NoUpstream);
    // An open flow of the removed upstream is reset, too.
    const auto open = host.acknowledge(8, Cookie::of(InstanceId(5)), papersAddress);
    CHECK(open.verdict == PacketVerdict::Reset);
    CHECK(open.reason == PacketReason::UpstreamGone);
}

TEST_CASE("missing upstreams that may register again get new flows like others", "[packets]")
{
    PacketBoard host;
    DirectoryUpdate update;
    update.after = { 10 };
    update.upTo = { 11 };
    update.removed = { { InstanceId(2), { 11 } }, { InstanceId(3), { 11 } } };
    update.removalsDeferredFor = 2s;
    host.take(update);
    std::map<std::uint64_t, int> placed;
    for (std::uint16_t port = 1; port <= 15; ++port) {
        ++placed[instanceOf(host.open(port))];
    }
    CHECK(placed == std::map<std::uint64_t, int> { { 1, 5 }, { 2, 5 }, { 3, 5 } });
}

TEST_CASE("a missing upstream keeps its open flows and takes new ones if it is the only one of its "
          "service",
          "[packets]")
{
    PacketBoard host;
    auto update = removalOfUpstream5();
    update.removalsDeferredFor = 2s;
    host.take(update);
    CHECK(host.acknowledge(8, Cookie::of(InstanceId(5)), papersAddress).verdict
          == PacketVerdict::Forward);
    CHECK(instanceOf(host.open(9, papersAddress)) == 5);
}

TEST_CASE("a copy of an opening packet goes to another upstream", "[packets]")
{
    PacketBoard host;
    for (std::uint16_t port = 1; port <= 30; ++port) {
        const auto first = instanceOf(host.open(port));
        const auto copy = host.open(port, feedAddress, 1);
        CHECK(copy.reason == PacketReason::PlacedElsewhere);
        CHECK(instanceOf(copy) != first);
    }
    // Without another upstream, the copy goes to the same one.
    CHECK(instanceOf(host.open(31, papersAddress)) == 5);
    CHECK(instanceOf(host.open(31, papersAddress, 1)) == 5);
}

TEST_CASE("a late copy of an open flow's opening packet is dropped", "[packets]")
{
    PacketBoard host;
    const auto first = host.open(7);
    host.acknowledge(7, first.targets[0].cookie);
    const auto copy = host.open(7, feedAddress, 1);
    CHECK(copy.verdict == PacketVerdict::Drop);
    CHECK(copy.reason == PacketReason::AlreadyOpen);
}

TEST_CASE("packets with contradictory flags are dropped", "[packets]")
{
    PacketBoard host;
    auto both = PacketBoard::opening(9, feedAddress, 0);
    both.flags.resets = true;
    CHECK(host.steer(both).reason == PacketReason::Malformed);
    both.flags.resets = false;
    both.flags.finishes = true;
    CHECK(host.steer(both).reason == PacketReason::Malformed);
    both.flags.finishes = false;
    both.dataBytes = 10;
    CHECK(host.steer(both).reason == PacketReason::Malformed);
    auto returned = PacketBoard::following(9, Cookie::of(InstanceId(1)), feedAddress);
    returned.flags.returned = true;
    CHECK(host.steer(returned).verdict == PacketVerdict::Drop);
}

TEST_CASE("a caller's reset is forwarded to its upstream", "[packets]")
{
    PacketBoard host;
    auto reset = PacketBoard::following(9, Cookie::of(InstanceId(2)), feedAddress);
    reset.flags.resets = true;
    CHECK(host.steer(reset).reason == PacketReason::Steered);
}

TEST_CASE("new flows follow the weights of a row's services", "[packets]")
{
    PacketBoard host;
    auto row = packetRow("feed", feedAddress, "live");
    row.shares = { { ServiceId::ofName("live"), "live", 3 },
                   { ServiceId::ofName("papers"), "papers", 1 } };
    host.takeRows({ row });
    int papers = 0;
    constexpr int flows = 4000;
    for (int i = 0; i < flows; ++i) {
        auto head = PacketBoard::opening(static_cast<std::uint16_t>(i + 1), feedAddress, 0);
        head.caller.ip += static_cast<std::uint32_t>(i);
        papers += instanceOf(host.steer(head)) == 5 ? 1 : 0;
    }
    CHECK(papers > flows / 4 - 120);
    CHECK(papers < flows / 4 + 120);
}

TEST_CASE("a service of weight 0 gets no new flows, even if no other service can take them",
          "[packets]")
{
    PacketBoard host;
    auto row = packetRow("papers", papersAddress, "papers");
    row.shares = { { ServiceId::ofName("gone"), "gone", 1 },
                   { ServiceId::ofName("papers"), "papers", 0 } };
    host.takeRows({ row });
    CHECK(host.open(9, papersAddress).verdict == PacketVerdict::Reset);
}

TEST_CASE("the load of an upstream is the number of its pending openings and requests", "[packets]")
{
    PacketBoard host;
    const auto opened = host.open(7);
    const auto cookie = opened.targets[0].cookie;
    auto &entry = host.entry(instanceOf(opened));
    CHECK(entry.evidence.pending == 1);
    auto request = PacketBoard::following(7, cookie, feedAddress);
    request.dataBytes = 300;
    host.steer(request);
    CHECK(entry.evidence.pending == 1);
    request.sequence += 300;
    request.dataBytes = 0;
    request.acknowledged += 1000;
    host.advance(20ms);
    host.steer(request);
    CHECK(entry.evidence.pending == 0);
    CHECK(entry.evidence.response == 20ms);
    request.dataBytes = 300;
    host.steer(request);
    CHECK(entry.evidence.pending == 1);
    request.flags.finishes = true;
    host.steer(request);
    CHECK(entry.evidence.pending == 0);
    CHECK(host.board.packets.flows.used == 0);
}

TEST_CASE("a pending request stops counting after its flow had no packets for the expiry time",
          "[packets]")
{
    PacketBoard host;
    const auto opened = host.open(7);
    auto &entry = host.entry(instanceOf(opened));
    CHECK(entry.evidence.pending == 1);
    host.advance(config::requestExpiry + 4s);
    CHECK(entry.evidence.pending == 0);
}

TEST_CASE("a full flow table replaces the oldest flow and stops counting its load", "[packets]")
{
    PacketBoard host;
    for (int i = 0; i < 5000; ++i) {
        auto head = PacketBoard::opening(static_cast<std::uint16_t>(i % 60000 + 1), feedAddress, 0);
        head.caller.ip += static_cast<std::uint32_t>(i);
        host.board.now.mono += 1ms;
        host.steer(head);
    }
    std::uint32_t busy = 0;
    for (std::uint64_t instance = 1; instance <= 4; ++instance) {
        busy += host.entry(instance).evidence.pending;
    }
    CHECK(host.board.packets.flows.used <= 1024);
    CHECK(busy == host.board.packets.flows.used);
}

TEST_CASE("requests from before a restart do not count for the restarted upstream",
          "[packets][born]")
{
    PacketBoard host;
    const auto cookie = Cookie::of(InstanceId(2));
    auto request = PacketBoard::following(41, cookie, feedAddress);
    request.dataBytes = 300;
    host.steer(request);
    REQUIRE(host.entry(2).evidence.pending == 1);
    DirectoryUpdate update;
    update.after = { 10 };
    update.upTo = { 12 };
    update.present = { record(2, "live", "a", 12) };
    update.present[0].upstream.startedAt = WallTime(std::chrono::seconds(1005));
    host.take(update);
    REQUIRE(host.entry(2).evidence.pending == 0);
    auto other = PacketBoard::following(42, cookie, feedAddress);
    other.dataBytes = 300;
    host.steer(other);
    CHECK(host.entry(2).evidence.pending == 1);
    // Packets of the flow from before the restart are still forwarded, for the upstream to reset
    // it, but they neither end a request nor count as a sign of life.
    request.flags.finishes = true;
    CHECK(host.steer(request).verdict == PacketVerdict::Forward);
    CHECK(host.entry(2).evidence.pending == 1);
    CHECK(host.entry(2).evidence.lastHeardAt == MonoTime());
}

TEST_CASE("a host that just started forwards flows of a service that their row no longer has",
          "[packets][owner]")
{
    // This host knows only the current rows, in which the feed has moved to papers. If all hosts
    // started at once, none knows the rows from before.
    PacketBoard host;
    host.board.directory = Directory(ZoneId::ofName("a"));
    DirectoryUpdate current;
    current.upTo = { 10 };
    current.rows = packetRows(9, { packetRow("feed", feedAddress, "papers"),
                                   packetRow("papers", papersAddress, "papers") });
    current.present = { record(1, "live", "a", 2), record(5, "papers", "a", 6) };
    host.take(current);
    const auto live = Cookie::of(InstanceId(1));
    const auto carried = host.acknowledge(7, live.bound(feedAddress));
    CHECK(carried.verdict == PacketVerdict::Forward);
    CHECK(carried.targets[0].instance == InstanceId(1));
    CHECK(carried.targets[0].cookie == live.bound(feedAddress));
    // The cookie was issued for that address, so it proves nothing at another one, and nor does an
    // unbound cookie.
    CHECK(host.acknowledge(7, live.bound(feedAddress), papersAddress).verdict
          == PacketVerdict::Drop);
    CHECK(host.acknowledge(7, live).reason == PacketReason::CookieOfAnother);
    // After this time, no flow from before the start can still be open.
    host.advance(config::tombstoneTime);
    CHECK(host.acknowledge(7, live.bound(feedAddress)).reason == PacketReason::CookieOfAnother);
    CHECK(host.acknowledge(7, Cookie::of(InstanceId(5)).bound(feedAddress)).verdict
          == PacketVerdict::Forward);
}

TEST_CASE("a cookie rarely matches an upstream at an address that it was not issued for",
          "[packets][owner]")
{
    // A tenth of the upstreams of the design size, and a thousandth of its address pairs.
    constexpr std::uint64_t upstreams = 11000;
    constexpr std::uint32_t addresses = 50;
    std::unordered_set<std::uint32_t> known;
    std::mt19937_64 random(11);
    std::vector<Cookie> cookies;
    for (std::uint64_t i = 0; i < upstreams; ++i) {
        cookies.push_back(Cookie::of(InstanceId(random() | 1U)));
        known.insert(cookies.back().value);
    }
    std::size_t hits = 0;
    for (std::uint32_t i = 1; i <= addresses; ++i) {
        const Address written { 0xc6120000 + i, 8443 };
        const Address other { 0xc6120001, static_cast<std::uint16_t>(8443 + i) };
        for (const auto cookie : cookies) {
            hits += known.count(cookie.bound(written).bound(other).value);
        }
    }
    // 550,000 tries, each matching one of 11,000 of 2^32 values by chance: 1.4 hits are expected.
    CHECK(hits <= 8);
}

} // namespace flamingograde
