/// Tests that a graceful shutdown finishes all work or reports what was unfinished.
#include "sampletable.h"
#include "virtualfleet.h"

#include <catch2/catch.hpp>

using namespace flamingograde;
using namespace std::chrono_literals;

TEST_CASE("a stopping host finishes its requests and ends its feeds without aborting any answer")
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
    fleet.deliver(0, StopRequested {});
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
    CHECK(fleet.closedListeners.size() == 4);
}

TEST_CASE("a host whose stop times out refuses the remaining requests and reports them")
{
    VirtualFleet fleet({ { "a1", "a" } }, longDeadlineTable());
    fleet.settle();
    fleet.behaviour = [](UpstreamId) { return Behaviour::Hold; };
    const auto held = fleet.call(0, voteAddress, {}, fleet.newKey());
    fleet.deliver(0, StopRequested {});
    fleet.advance(config::stopTimeout + 1s);
    REQUIRE(fleet.stopped.count(0) == 1);
    CHECK(fleet.stopped.at(0) == "1 requests");
    REQUIRE(fleet.result(held).refusal);
    CHECK(fleet.result(held).refusal->reason == RefusalReason::Stopping);
    CHECK(fleet.result(held).refusal->verdict == Verdict::Unknown);
}

TEST_CASE("a host with closed listeners serves requests on open connections but refuses feeds")
{
    VirtualFleet fleet({ { "a1", "a" }, { "a2", "a" }, { "b1", "b" } }, sampleTable());
    fleet.settle();
    fleet.deliver(0, StopRequested {});
    fleet.advance(config::stopNoticeTime + 100ms);
    fleet.serviceTime = 300ms;
    fleet.call(0, readAddress); // Keeps the stop from completing.
    const auto vote = fleet.call(0, voteAddress, {}, fleet.newKey());
    const auto feed = fleet.call(0, feedAddress);
    REQUIRE(fleet.result(feed).refusal);
    CHECK(fleet.result(feed).refusal->reason == RefusalReason::Stopping);
    CHECK(fleet.result(feed).refusal->verdict == Verdict::NotRun);
    CHECK(fleet.result(feed).refusal->retryAfter > 0ms);
    fleet.advance(5s);
    CHECK(fleet.result(vote).answered);
    REQUIRE(fleet.stopped.count(0) == 1);
    const auto late = fleet.call(0, voteAddress, {}, fleet.newKey());
    REQUIRE(fleet.result(late).refusal);
    CHECK(fleet.result(late).refusal->reason == RefusalReason::Stopping);
    CHECK(fleet.result(late).refusal->verdict == Verdict::NotRun);
}

TEST_CASE("feeds return to their upstream while all hosts are restarted one after another")
{
    VirtualFleet fleet({ { "a1", "a" }, { "a2", "a" }, { "b1", "b" }, { "b2", "b" } },
                       sampleTable());
    fleet.settle();
    struct Flow
    {
        ExchangeId feed;
        std::string token;
        UpstreamId upstream;
        std::size_t host = 0;
    };
    std::vector<Flow> flows;
    for (std::size_t i = 0; i < 40; ++i) {
        flows.push_back({ fleet.call(i % 4, feedAddress), {}, {}, i % 4 });
        fleet.advance(10ms);
        flows.back().token = fleet.result(flows.back().feed).token;
        flows.back().upstream = fleet.feeds.at(flows.back().feed).upstream;
    }
    std::size_t moved = 0;
    for (std::size_t host = 0; host < 4; ++host) {
        fleet.deliver(host, StopRequested {});
        for (int step = 0; step < 100; ++step) {
            fleet.advance(50ms);
            for (auto &flow : flows) {
                if (!fleet.result(flow.feed).answered) {
                    continue;
                }
                ++moved;
                flow.host = (host + 1 + moved % 3) % 4;
                flow.feed = fleet.call(flow.host, feedAddress, flow.token);
            }
        }
        REQUIRE(fleet.stopped.count(host) == 1);
        CHECK(fleet.stopped.at(host).empty());
        fleet.kill(host);
        fleet.restart(host);
        fleet.settle();
    }
    CHECK(moved >= flows.size());
    for (const auto &flow : flows) {
        REQUIRE(fleet.feeds.count(flow.feed) == 1);
        CHECK(fleet.feeds.at(flow.feed).upstream == flow.upstream);
    }
}
