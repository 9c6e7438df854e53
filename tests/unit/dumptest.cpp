/// Tests of the state dump and of the explanations of placements.
#include "sampletable.h"
#include "virtualfleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace flamingograde;
using namespace std::chrono_literals;
using nlohmann::json;

TEST_CASE("the dump lists members, cells, upstreams, requests in progress and open feeds")
{
    VirtualFleet fleet({ { "a1", "a" }, { "a2", "a" }, { "b1", "b" } }, sampleTable());
    fleet.settle();
    fleet.behaviour = [](UpstreamId) { return Behaviour::Hold; };
    const auto key = "a." + fleet.newKey();
    fleet.call(0, voteAddress, {}, key);
    fleet.advance(50ms);
    fleet.behaviour = [](UpstreamId) { return Behaviour::Answer; };
    fleet.call(0, feedAddress);
    fleet.advance(50ms);
    const auto dump = json::parse(fleet.host(0).dump());
    CHECK(dump.at("host").at("name") == "a1");
    CHECK(dump.at("members").size() == 3);
    CHECK(dump.at("config").at("revision") == 1);
    CHECK(dump.at("cells").size() == 4);
    CHECK(dump.at("upstreams").size() == 8);
    CHECK(dump.at("exchanges").at("count") == 1);
    CHECK(dump.at("exchanges").at("oldest").at(0).at("key") == key);
    CHECK(dump.at("exchanges").at("oldest").at(0).at("maybe_sent") == true);
    CHECK(dump.at("feeds").at("stages").at("open") == 1);
    CHECK(dump.at("stats").at("callers_arrived") == 2);
}

TEST_CASE("an explanation predicts the placement of a request and does not change the state")
{
    VirtualFleet fleet({ { "a1", "a" }, { "b1", "b" } }, sampleTable());
    fleet.settle();
    const auto feed = fleet.call(0, feedAddress);
    fleet.advance(50ms);
    const auto token = fleet.result(feed).token;
    const auto upstream = fleet.feeds.at(feed).upstream;
    const auto before = fleet.host(0).dump();
    const auto explain = [&](const char *address, const std::string &sent, const std::string &key) {
        return json::parse(fleet.host(0).explain(*Address::parse(address), sent, key));
    };
    const auto bound = explain(feedAddress, token, {}).at("placement");
    CHECK(UpstreamId::ofName(bound.at("upstream").get<std::string>()) == upstream);
    CHECK(explain("10.9.9.9:80", {}, {}).at("refused") == "unknown-service");
    CHECK(explain(uploadAddress, token, {}).at("placement").at("refused") == "bad-token");
    CHECK(explain(feedAddress, "x", {}).at("placement").at("why") == "malformed");
    CHECK(explain(readAddress, {}, {}).at("placement").at("candidates").size() == 2);
    const auto key = "b." + fleet.newKey();
    const auto placed = explain(voteAddress, {}, key).at("placement");
    CHECK(placed.at("zone") == "b");
    CHECK(placed.at("home") == "b1");
    CHECK(fleet.host(0).dump() == before);
    fleet.call(0, voteAddress, {}, key);
    fleet.advance(50ms);
    CHECK(fleet.runs.back().host == 1);
}
