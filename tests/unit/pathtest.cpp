/// Tests of requests, feeds and uploads from the caller to the upstream, through one or more hosts.
#include "sampletable.h"
#include "virtualfleet.h"

#include <catch2/catch.hpp>

using namespace flamingograde;
using namespace std::chrono_literals;

TEST_CASE("a single host answers requests and uploads of all its rows")
{
    VirtualFleet fleet({ { "a1", "a" } }, sampleTable());
    fleet.settle();
    for (const auto *address : { readAddress, voteAddress, uploadAddress }) {
        const auto id = fleet.call(0, address);
        fleet.advance(100ms);
        CHECK(fleet.result(id).answered);
    }
    CHECK(fleet.runs.size() == 3);
}

TEST_CASE("requests with and without a key are relayed to the home host and answered")
{
    VirtualFleet fleet({ { "a1", "a" }, { "a2", "a" }, { "b1", "b" }, { "b2", "b" } },
                       sampleTable());
    fleet.settle();
    std::vector<ExchangeId> ids;
    for (std::size_t i = 0; i < 40; ++i) {
        ids.push_back(fleet.call(i % 4, i % 2 == 0 ? readAddress : uploadAddress));
        ids.push_back(fleet.call(i % 4, voteAddress, {}, fleet.newKey()));
        fleet.advance(100ms);
    }
    for (const auto id : ids) {
        CHECK(fleet.result(id).answered);
    }
    CHECK(fleet.runs.size() == ids.size());
    CHECK(fleet.host(0).stats().relayed + fleet.host(1).stats().relayed > 0);
}

TEST_CASE("each baseline placement policy answers requests with and without a key")
{
    for (const auto policy : { Policy::UpstreamHome, Policy::LocalLeastLoaded, Policy::TwoChoices,
                               Policy::StaticHash }) {
        VirtualFleet fleet({ { "a1", "a" }, { "b1", "b" } }, sampleTable(), policy);
        fleet.settle();
        std::vector<ExchangeId> ids;
        for (std::size_t i = 0; i < 20; ++i) {
            ids.push_back(fleet.call(i % 2, readAddress));
            ids.push_back(fleet.call(i % 2, voteAddress, {}, fleet.newKey()));
            fleet.advance(100ms);
        }
        for (const auto id : ids) {
            CHECK(fleet.result(id).answered);
        }
        CHECK(fleet.runs.size() == ids.size());
    }
}

TEST_CASE("a feed is opened at an upstream of its service and its caller gets a token")
{
    VirtualFleet fleet({ { "a1", "a" }, { "b1", "b" } }, sampleTable());
    fleet.settle();
    const auto id = fleet.call(0, feedAddress);
    fleet.advance(100ms);
    REQUIRE(fleet.result(id).gotHead);
    CHECK(fleet.result(id).token.size() == fleet.host(0).caps().tokenBytes);
    CHECK(fleet.feeds.at(id).service == "packs");
}
