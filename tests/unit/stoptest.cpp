/// An orderly stop finishes everything, or says what was left.
#include "sampletable.h"
#include "virtualfleet.h"

#include <catch2/catch.hpp>

using namespace flamingograde;
using namespace std::chrono_literals;

TEST_CASE("a stop finishes requests, moves feeds and cuts nothing")
{
    VirtualFleet fleet({ { "a1", "a" }, { "a2", "a" }, { "b1", "b" } }, sampleTable());
    fleet.settle();
    fleet.serviceTime = 800ms;
    std::vector<ExchangeId> requests;
    std::vector<ExchangeId> feeds;
    for (int i = 0; i < 10; ++i) {
        requests.push_back(fleet.call(0, voteAddress, {}, fleet.newKey()));
        feeds.push_back(fleet.call(0, feedAddress));
    }
    fleet.advance(50ms);
    fleet.give(0, StopRequested {});
    for (int i = 0; i < 10; ++i) {
        requests.push_back(
                fleet.call(static_cast<std::size_t>(i % 3), voteAddress, {}, fleet.newKey()));
        fleet.advance(50ms);
    }
    fleet.advance(10s);
    for (const auto id : requests) {
        CHECK(fleet.result(id).answered);
    }
    for (const auto id : feeds) {
        CHECK(fleet.result(id).answered);
        CHECK_FALSE(fleet.result(id).aborted);
    }
    REQUIRE(fleet.stopped.count(0) == 1);
    CHECK(fleet.stopped.at(0).empty());
    CHECK(fleet.unlistened.size() == 4);
}

TEST_CASE("a stop that takes too long answers what is left and says so")
{
    VirtualFleet fleet({ { "a1", "a" } }, longDeadlineTable());
    fleet.settle();
    fleet.behaviour = [](UpstreamId) { return Behaviour::Hold; };
    const auto held = fleet.call(0, voteAddress, {}, fleet.newKey());
    fleet.give(0, StopRequested {});
    fleet.advance(config::stopTimeout + 1s);
    REQUIRE(fleet.stopped.count(0) == 1);
    CHECK(fleet.stopped.at(0) == "1 requests");
    REQUIRE(fleet.result(held).refusal);
    CHECK(fleet.result(held).refusal->reason == RefusalReason::Stopping);
    CHECK(fleet.result(held).refusal->verdict == Verdict::Unknown);
}

TEST_CASE("a host that has closed its listeners refuses late arrivals as not run")
{
    VirtualFleet fleet({ { "a1", "a" }, { "a2", "a" } }, sampleTable());
    fleet.settle();
    fleet.give(0, StopRequested {});
    fleet.advance(config::leaveNotice + 100ms);
    const auto late = fleet.call(0, voteAddress, {}, fleet.newKey());
    REQUIRE(fleet.result(late).refusal);
    CHECK(fleet.result(late).refusal->reason == RefusalReason::Stopping);
    CHECK(fleet.result(late).refusal->verdict == Verdict::NotRun);
    CHECK(fleet.result(late).refusal->retryAfter > 0ms);
}
