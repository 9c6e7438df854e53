/// What callers are told, at every progress of what was sent for them.
#include "sampletable.h"
#include "virtualfleet.h"

#include <catch2/catch.hpp>

using namespace flamingograde;
using namespace std::chrono_literals;

namespace {

auto oneHost() -> VirtualFleet
{
    VirtualFleet fleet({ { "a1", "a" } }, oneZoneTable());
    fleet.settle();
    return fleet;
}

/// Returns how a request to `address` ends where every upstream behaves so.
auto endOf(VirtualFleet &fleet, const std::string &address, Behaviour behaviour) -> CallerResult
{
    fleet.behaviour = [behaviour](UpstreamId) { return behaviour; };
    const auto id = fleet.call(0, address, {}, address == voteAddress ? fleet.newKey() : "");
    fleet.advance(6s);
    return fleet.result(id);
}

} // namespace

TEST_CASE("the verdict is true at every progress value")
{
    struct Case
    {
        const char *address;
        Behaviour behaviour;
        RefusalReason reason;
        Verdict verdict;
        std::size_t runs;
    };
    const auto cases = {
        Case { voteAddress, Behaviour::Refuse, RefusalReason::NoUpstream, Verdict::NotRun, 0 },
        Case { voteAddress, Behaviour::Shed, RefusalReason::NoUpstream, Verdict::NotRun, 0 },
        Case { voteAddress, Behaviour::Mistake, RefusalReason::NoUpstream, Verdict::NotRun, 0 },
        Case { voteAddress, Behaviour::Late, RefusalReason::DeadlineUnmet, Verdict::Unknown, 0 },
        Case { voteAddress, Behaviour::Lose, RefusalReason::Lost, Verdict::Unknown, 1 },
        Case { voteAddress, Behaviour::Hold, RefusalReason::DeadlineUnmet, Verdict::Unknown, 1 },
        Case { readAddress, Behaviour::Refuse, RefusalReason::NoUpstream, Verdict::NotRun, 0 },
        Case { readAddress, Behaviour::Shed, RefusalReason::NoUpstream, Verdict::NotRun, 0 },
        Case { readAddress, Behaviour::Lose, RefusalReason::Lost, Verdict::Unknown,
               config::relayAttempts },
        Case { readAddress, Behaviour::Hold, RefusalReason::DeadlineUnmet, Verdict::Unknown, 1 },
    };
    for (const auto &it : cases) {
        auto fleet = oneHost();
        const auto end = endOf(fleet, it.address, it.behaviour);
        INFO(it.address << " behaviour " << static_cast<int>(it.behaviour));
        REQUIRE(end.refusal);
        CHECK(toString(end.refusal->reason) == toString(it.reason));
        CHECK(end.refusal->verdict == it.verdict);
        CHECK(fleet.runs.size() == it.runs);
        CHECK_FALSE(end.answered);
    }
}

TEST_CASE("an answer that breaks off is cut, never taken for whole")
{
    auto fleet = oneHost();
    for (const auto *address : { voteAddress, readAddress }) {
        const auto end = endOf(fleet, address, Behaviour::Break);
        CHECK(end.aborted);
        CHECK_FALSE(end.answered);
        CHECK_FALSE(end.refusal);
    }
    CHECK(fleet.runs.size() == 2);
}

TEST_CASE("a deadline that passes is answered at once, with the truth")
{
    auto fleet = oneHost();
    fleet.behaviour = [](UpstreamId) { return Behaviour::Hold; };
    const auto begin = fleet.now().mono;
    std::vector<ExchangeId> sent;
    for (int i = 0; i < 6; ++i) { // Three upstreams of two slots.
        sent.push_back(fleet.call(0, voteAddress, {}, fleet.newKey(), 400ms));
    }
    const auto waits = fleet.call(0, voteAddress, {}, fleet.newKey(), 300ms);
    fleet.advance(2s);
    CHECK(fleet.runs.size() == 6);
    for (const auto id : sent) {
        REQUIRE(fleet.result(id).refusal);
        CHECK(fleet.result(id).refusal->verdict == Verdict::Unknown);
        CHECK(fleet.result(id).at - begin <= 400ms + config::tickPeriod);
    }
    REQUIRE(fleet.result(waits).refusal);
    CHECK(fleet.result(waits).refusal->reason == RefusalReason::DeadlineUnmet);
    CHECK(fleet.result(waits).refusal->verdict == Verdict::NotRun);
    CHECK(fleet.result(waits).refusal->retryAfter > 0ms);
    CHECK(fleet.result(waits).at - begin <= 300ms + config::tickPeriod);
}

TEST_CASE("a caller's vote that is running runs on without it, and its repeat gets the answer")
{
    auto fleet = oneHost();
    fleet.serviceTime = 500ms;
    const auto key = fleet.newKey();
    const auto first = fleet.call(0, voteAddress, {}, key);
    fleet.advance(50ms);
    fleet.give(0, CallerLeft { first });
    const auto second = fleet.call(0, voteAddress, {}, key);
    fleet.advance(1s);
    CHECK(fleet.result(second).replayed);
    CHECK(fleet.runsOf(key) == 1);
    CHECK(fleet.host(0).stats().exchanges == 0);
}

TEST_CASE("a vote whose home is cut off is not sent there, and is told as not run")
{
    VirtualFleet fleet({ { "a1", "a" }, { "b1", "b" } }, sampleTable());
    fleet.settle();
    fleet.mute = { 1 };
    fleet.give(0, PeerDown { HostId::ofName("b1"), PeerLoss::Closed });
    const auto relayed = fleet.host(0).stats().relayed;
    const auto vote = fleet.call(0, voteAddress, {}, "b." + fleet.newKey());
    const auto read = fleet.call(0, readAddress);
    fleet.advance(2s);
    REQUIRE(fleet.result(vote).refusal);
    CHECK(fleet.result(vote).refusal->reason == RefusalReason::NoHome);
    CHECK(fleet.result(vote).refusal->verdict == Verdict::NotRun);
    CHECK(fleet.result(vote).refusal->retryAfter > 0ms);
    CHECK(fleet.result(read).answered);
    CHECK(fleet.host(0).stats().relayed == relayed);
}

TEST_CASE("idempotent requests leave a home that is given up; others wait for it")
{
    VirtualFleet fleet({ { "a1", "a" }, { "a2", "a" }, { "b1", "b" }, { "b2", "b" } },
                       sampleTable());
    fleet.settle();
    std::size_t home = 4;
    while (home == 4) { // Find the home of "packs" in zone b.
        fleet.call(0, voteAddress, {}, "b." + fleet.newKey());
        fleet.advance(50ms);
        home = fleet.runs.back().host;
    }
    fleet.runs.clear();
    fleet.pause(home);
    std::vector<ExchangeId> reads;
    for (int i = 0; i < 8; ++i) {
        reads.push_back(fleet.call(0, readAddress));
    }
    const auto vote = fleet.call(0, voteAddress, {}, "b." + fleet.newKey());
    fleet.advance(4500ms);
    for (const auto id : reads) {
        CHECK(fleet.result(id).answered);
    }
    CHECK_FALSE(fleet.result(vote).refusal);
    fleet.resume(home);
    fleet.advance(1s);
    REQUIRE(fleet.result(vote).ends == 1);
    const auto end = fleet.result(vote);
    CHECK((end.answered || end.refusal->verdict == Verdict::Unknown));
}

TEST_CASE("arrivals out of bounds are refused as not run")
{
    auto fleet = oneHost();
    const auto refusalOf = [&](CallerArrived arrived) {
        arrived.exchange = ExchangeId(1'000'000 + fleet.host(0).stats().callersArrived);
        fleet.give(0, arrived);
        const auto end = fleet.result(arrived.exchange);
        REQUIRE(end.refusal);
        CHECK(end.refusal->verdict == Verdict::NotRun);
        return end.refusal->reason;
    };
    CallerArrived arrived;
    arrived.address = *Address::parse("10.9.0.9:80");
    CHECK(refusalOf(arrived) == RefusalReason::UnknownService);
    arrived.address = *Address::parse(voteAddress);
    arrived.bodyBytes = (1U << 20U) + 1;
    CHECK(refusalOf(arrived) == RefusalReason::TooLarge);
    arrived.bodyBytes = 0;
    arrived.key = "two words";
    CHECK(refusalOf(arrived) == RefusalReason::BadKey);
    std::mt19937_64 random(1);
    arrived.key = "0fffffff-ffff-7000-8000-000000000000";
    CHECK(refusalOf(arrived) == RefusalReason::BadKey);
    arrived.key.clear();
    arrived.token = "forged";
    CHECK(refusalOf(arrived) == RefusalReason::BadToken);
    CHECK(fleet.runs.empty());
}
