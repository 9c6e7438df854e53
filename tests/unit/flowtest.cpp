/// Tests that flows keep their upstream, whichever host their requests reach and whichever table
/// that host has.
#include "core/requests/token.h"
#include "sampletable.h"
#include "virtualfleet.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace flamingograde;
using namespace std::chrono_literals;

namespace {

const std::vector<std::pair<std::string, std::string>> sixHosts {
    { "a1", "a" }, { "a2", "a" }, { "b1", "b" }, { "b2", "b" }, { "c1", "c" }, { "c2", "c" },
};

/// Returns `sampleTable` with pa1 draining, pb4 added and another signing key.
auto editedTable() -> std::string
{
    auto text = rowsText("12");
    text += upstreamText("pa1", "packs", "a", 1, "state = \"draining\"\n");
    for (int i = 2; i <= 3; ++i) {
        text += upstreamText("pa" + std::to_string(i), "packs", "a", i);
    }
    for (int i = 1; i <= 4; ++i) {
        text += upstreamText("pb" + std::to_string(i), "packs", "b", 10 + i);
    }
    return text + upstreamText("ia1", "intake", "a", 21) + upstreamText("ib1", "intake", "b", 22);
}

/// Opens a feed at a host, with a flow's token or none, and waits 50 ms for the outcome.
auto feedAt(VirtualFleet &fleet, std::size_t host, const std::string &token) -> ExchangeId
{
    const auto id = fleet.call(host, feedAddress, token);
    fleet.advance(50ms);
    return id;
}

} // namespace

TEST_CASE("requests of a flow at random hosts with different tables reach the flow's upstream")
{
    VirtualFleet fleet(sixHosts, sampleTable());
    fleet.settle();
    std::mt19937_64 random(11);
    std::map<std::size_t, std::pair<std::string, UpstreamId>> flows;
    for (std::size_t flow = 0; flow < 30; ++flow) {
        const auto id = feedAt(fleet, random() % 6, {});
        REQUIRE(fleet.feeds.count(id) == 1);
        flows[flow] = { fleet.result(id).token, fleet.feeds.at(id).upstream };
    }
    fleet.hostsWithoutPlatform = { 0, 3 };
    fleet.isolatedHosts = { 0, 3 }; // These two hosts keep the old table and signing key.
    fleet.publish(editedTable());
    fleet.advance(200ms);
    REQUIRE(fleet.host(0).stats().revision == 1);
    REQUIRE(fleet.host(1).stats().revision == 2);
    for (int packet = 0; packet < 10; ++packet) {
        for (auto &[flow, known] : flows) {
            const auto host = random() % 6;
            const auto id = fleet.call(host, feedAddress, known.first);
            fleet.advance(2ms);
            REQUIRE(fleet.feeds.count(id) == 1);
            CHECK(fleet.feeds.at(id).upstream == known.second);
            CHECK(fleet.feeds.at(id).service == "packs");
            fleet.deliver(host, CallerLeft { id });
        }
    }
    const auto newer =
            fleet.result(feedAt(fleet, 1, {})).token; // Signed with a key unknown to host 0.
    const auto id = feedAt(fleet, 0, newer);
    REQUIRE(fleet.result(id).refusal);
    CHECK(fleet.result(id).refusal->reason == RefusalReason::BadToken);
    CHECK(fleet.result(id).refusal->retryAfter > 0ms); // The key may have just been published.
}

TEST_CASE("requests of an idempotent flow keep their upstream at every host")
{
    VirtualFleet fleet(sixHosts, sampleTable());
    fleet.settle();
    const auto first = fleet.call(0, readAddress);
    fleet.advance(100ms);
    const auto token = fleet.result(first).token;
    REQUIRE_FALSE(token.empty());
    const auto upstream = fleet.runs.back().upstream;
    for (std::size_t host = 0; host < 6; ++host) {
        fleet.call(host, readAddress, token);
        fleet.advance(100ms);
        CHECK(fleet.runs.back().upstream == upstream);
    }
    CHECK(fleet.runs.size() == 7);
}

TEST_CASE("tokens that are forged, of another service or of a removed upstream are refused")
{
    VirtualFleet fleet({ { "a1", "a" } }, sampleTable());
    fleet.settle();
    const auto feed = feedAt(fleet, 0, {});
    const auto token = fleet.result(feed).token;
    const auto reasonOf = [&](const char *address, const std::string &sent) {
        const auto id = fleet.call(0, address, sent);
        fleet.advance(50ms);
        REQUIRE(fleet.result(id).refusal);
        CHECK(fleet.result(id).refusal->verdict == Verdict::NotRun);
        CHECK(fleet.result(id).refusal->retryAfter == 0ms);
        return fleet.result(id).refusal->reason;
    };
    auto forged = token;
    forged[20] = forged[20] == 'A' ? 'B' : 'A';
    CHECK(reasonOf(feedAddress, forged) == RefusalReason::BadToken);
    CHECK(reasonOf(readAddress, forged) == RefusalReason::BadToken);
    CHECK(reasonOf(uploadAddress, token) == RefusalReason::BadToken);
    TokenKey key;
    key.id = 1;
    key.secret = { 0x00, 0x11, 0x22, 0x33, 0x44, 0x55, 0x66, 0x77,
                   0x88, 0x99, 0xaa, 0xbb, 0xcc, 0xdd, 0xee, 0x01 };
    const auto gone =
            signToken({ ServiceId::ofName("packs"), UpstreamId::ofName("pa9"), FlowId(1) }, key);
    CHECK(reasonOf(feedAddress, gone) == RefusalReason::StaleToken);
    CHECK(fleet.opened.size() == 1);
    CHECK(fleet.runs.empty());
}

TEST_CASE(
        "a flow stays at a draining upstream, and its token is refused as stale once that is gone")
{
    VirtualFleet fleet(sixHosts, sampleTable());
    fleet.settle();
    auto feed = feedAt(fleet, 0, {});
    while (fleet.feeds.at(feed).upstream != UpstreamId::ofName("pa1")) {
        feed = feedAt(fleet, 0, {});
    }
    const auto token = fleet.result(feed).token;
    fleet.publish(editedTable()); // pa1 drains.
    fleet.advance(1s);
    CHECK(fleet.feeds.count(feed) == 1);
    for (int i = 0; i < 30; ++i) {
        const auto fresh = feedAt(fleet, static_cast<std::size_t>(i % 6), {});
        CHECK(fleet.feeds.at(fresh).upstream != UpstreamId::ofName("pa1"));
    }
    CHECK(fleet.feeds.count(feedAt(fleet, 1, token)) == 1);
    fleet.behaviour = [](UpstreamId id) {
        return id == UpstreamId::ofName("pa1") ? Behaviour::Refuse : Behaviour::Answer;
    };
    const auto gone = fleet.call(2, feedAddress, token);
    fleet.advance(3s);
    REQUIRE(fleet.result(gone).refusal);
    CHECK(fleet.result(gone).refusal->reason == RefusalReason::StaleToken);
    auto removed = editedTable();
    const auto at = removed.find("[[upstream]]\nname = \"pa1\"");
    removed.erase(at, removed.find("[[upstream]]", at + 1) - at);
    fleet.publish(removed);
    fleet.advance(1s);
    CHECK(fleet.result(feed).answered); // The feed ended between two events.
    CHECK_FALSE(fleet.result(feed).aborted);
}

TEST_CASE("a feed that loses its connection is reopened at the same upstream, with back-off")
{
    VirtualFleet fleet({ { "a1", "a" } }, sampleTable());
    fleet.settle();
    const auto feed = feedAt(fleet, 0, {});
    const auto upstream = fleet.feeds.at(feed).upstream;
    fleet.behaviour = [](UpstreamId) { return Behaviour::Refuse; };
    fleet.cutFeed(feed);
    fleet.advance(1s);
    CHECK(fleet.opened.size() == 1);
    fleet.behaviour = [](UpstreamId) { return Behaviour::Answer; };
    fleet.advance(3s);
    REQUIRE(fleet.opened.size() == 2);
    CHECK(fleet.opened.back().upstream == upstream);
    CHECK_FALSE(fleet.result(feed).answered);
    CHECK(fleet.host(0).stats().feeds == 1);
}

TEST_CASE("a new feed whose upstream cannot be reached is opened at another one")
{
    VirtualFleet fleet({ { "a1", "a" } }, sampleTable());
    fleet.settle();
    const auto up = UpstreamId::ofName("pb2");
    fleet.behaviour = [up](UpstreamId id) {
        return id == up ? Behaviour::Answer : Behaviour::Refuse;
    };
    std::size_t headed = 0;
    for (int i = 0; i < 20; ++i) {
        const auto id = feedAt(fleet, 0, {});
        headed += fleet.result(id).gotHead ? 1 : 0;
        CHECK((fleet.result(id).gotHead || fleet.result(id).refusal));
    }
    CHECK(headed > 10);
}

TEST_CASE("feeds are spread in proportion to the connections set in the table")
{
    auto text = rowsText() + upstreamText("ia1", "intake", "a", 9);
    for (int i = 1; i <= 3; ++i) {
        text += upstreamText("p" + std::to_string(i), "packs", i == 1 ? "a" : "b", i,
                             "connections = " + std::to_string(i * 1000) + "\n");
    }
    VirtualFleet fleet({ { "a1", "a" }, { "b1", "b" } }, text);
    fleet.settle();
    for (std::size_t i = 0; i < 3000; ++i) {
        fleet.call(i % 2, feedAddress);
    }
    fleet.advance(1s);
    std::map<UpstreamId, double> counts;
    for (const auto &[id, feed] : fleet.feeds) {
        ++counts[feed.upstream];
    }
    for (int i = 1; i <= 3; ++i) {
        const auto count = counts[UpstreamId::ofName("p" + std::to_string(i))];
        CHECK(std::abs(count / 3000 - i / 6.0) < 0.04); // Four standard deviations.
    }
}
