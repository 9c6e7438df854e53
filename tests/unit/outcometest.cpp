/// Tests which result and verdict callers get, for each way in which a sent request can end.
#include "sampletable.h"
#include "virtualfleet.h"

#include <catch2/catch.hpp>

using namespace flamingograde;
using namespace std::chrono_literals;

namespace {

auto oneHostFleet() -> VirtualFleet
{
    VirtualFleet fleet({ { "a1", "a" } }, oneZoneTable());
    fleet.settle();
    return fleet;
}

/// Returns the result of a request to `address` if every upstream shows `behaviour`.
auto resultWith(VirtualFleet &fleet, const std::string &address, Behaviour behaviour)
        -> CallerResult
{
    fleet.behaviour = [behaviour](UpstreamId) { return behaviour; };
    const auto id = fleet.call(0, address, {}, address == voteAddress ? fleet.newKey() : "");
    fleet.advance(6s);
    return fleet.result(id);
}

} // namespace

TEST_CASE("the verdict is correct for every upstream behaviour")
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
        Case { voteAddress, Behaviour::Misdirect, RefusalReason::NoUpstream, Verdict::NotRun, 0 },
        Case { voteAddress, Behaviour::GatewayTimeout, RefusalReason::DeadlineUnmet,
               Verdict::Unknown, 0 },
        Case { voteAddress, Behaviour::LoseConnection, RefusalReason::Lost, Verdict::Unknown, 1 },
        Case { voteAddress, Behaviour::Hold, RefusalReason::DeadlineUnmet, Verdict::Unknown, 1 },
        Case { readAddress, Behaviour::Refuse, RefusalReason::NoUpstream, Verdict::NotRun, 0 },
        Case { readAddress, Behaviour::Shed, RefusalReason::NoUpstream, Verdict::NotRun, 0 },
        Case { readAddress, Behaviour::LoseConnection, RefusalReason::Lost, Verdict::Unknown,
               config::relayAttempts },
        Case { readAddress, Behaviour::Hold, RefusalReason::DeadlineUnmet, Verdict::Unknown, 1 },
    };
    for (const auto &it : cases) {
        auto fleet = oneHostFleet();
        const auto result = resultWith(fleet, it.address, it.behaviour);
        INFO(it.address << " behaviour " << static_cast<int>(it.behaviour));
        REQUIRE(result.refusal);
        CHECK(toString(result.refusal->reason) == toString(it.reason));
        CHECK(result.refusal->verdict == it.verdict);
        CHECK(fleet.runs.size() == it.runs);
        CHECK_FALSE(result.answered);
    }
}

TEST_CASE("a truncated answer is aborted and never counted as complete")
{
    auto fleet = oneHostFleet();
    for (const auto *address : { voteAddress, readAddress }) {
        const auto result = resultWith(fleet, address, Behaviour::Truncate);
        CHECK(result.aborted);
        CHECK_FALSE(result.answered);
        CHECK_FALSE(result.refusal);
    }
    CHECK(fleet.runs.size() == 2);
}

TEST_CASE("a request past its deadline is refused within a tick, with the correct verdict")
{
    auto fleet = oneHostFleet();
    fleet.behaviour = [](UpstreamId) { return Behaviour::Hold; };
    const auto start = fleet.now().mono;
    std::vector<ExchangeId> sent;
    for (int i = 0; i < 6; ++i) { // Fills three upstreams of two slots each.
        sent.push_back(fleet.call(0, voteAddress, {}, fleet.newKey(), 400ms));
    }
    const auto queued = fleet.call(0, voteAddress, {}, fleet.newKey(), 300ms);
    fleet.advance(2s);
    CHECK(fleet.runs.size() == 6);
    for (const auto id : sent) {
        REQUIRE(fleet.result(id).refusal);
        CHECK(fleet.result(id).refusal->verdict == Verdict::Unknown);
        CHECK(fleet.result(id).at - start <= 400ms + config::tickPeriod);
    }
    REQUIRE(fleet.result(queued).refusal);
    CHECK(fleet.result(queued).refusal->reason == RefusalReason::DeadlineUnmet);
    CHECK(fleet.result(queued).refusal->verdict == Verdict::NotRun);
    CHECK(fleet.result(queued).refusal->retryAfter > 0ms);
    CHECK(fleet.result(queued).at - start <= 300ms + config::tickPeriod);
}

TEST_CASE("a running request with a key continues after its caller left, and a repeat of the key "
          "gets the answer")
{
    auto fleet = oneHostFleet();
    fleet.serviceTime = 500ms;
    const auto key = fleet.newKey();
    const auto first = fleet.call(0, voteAddress, {}, key);
    fleet.advance(50ms);
    fleet.deliver(0, CallerLeft { first });
    const auto second = fleet.call(0, voteAddress, {}, key);
    fleet.advance(1s);
    CHECK(fleet.result(second).replayed);
    CHECK(fleet.runsOf(key) == 1);
    CHECK(fleet.host(0).stats().exchanges == 0);
}

TEST_CASE("a request with a key whose home is unreachable is not relayed, and is refused with the "
          "verdict not-run")
{
    VirtualFleet fleet({ { "a1", "a" }, { "b1", "b" } }, sampleTable());
    fleet.settle();
    fleet.isolatedHosts = { 1 };
    fleet.deliver(0, PeerDown { HostId::ofName("b1"), PeerLoss::Closed });
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

TEST_CASE("idempotent requests are retried when their home is declared dead; others wait for it")
{
    VirtualFleet fleet({ { "a1", "a" }, { "a2", "a" }, { "b1", "b" }, { "b2", "b" } },
                       sampleTable());
    fleet.settle();
    std::size_t home = 4;
    while (home == 4) { // Find the host that is home of service "packs" in zone b.
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
    const auto result = fleet.result(vote);
    CHECK((result.answered || result.refusal->verdict == Verdict::Unknown));
}

TEST_CASE("invalid requests are refused as not run")
{
    auto fleet = oneHostFleet();
    const auto refusalReasonFor = [&](CallerArrived arrived) {
        arrived.exchange = ExchangeId(1'000'000 + fleet.host(0).stats().callersArrived);
        fleet.deliver(0, arrived);
        const auto result = fleet.result(arrived.exchange);
        REQUIRE(result.refusal);
        CHECK(result.refusal->verdict == Verdict::NotRun);
        return result.refusal->reason;
    };
    CallerArrived arrived;
    arrived.address = *Address::parse("10.9.0.9:80");
    CHECK(refusalReasonFor(arrived) == RefusalReason::UnknownService);
    arrived.address = *Address::parse(voteAddress);
    arrived.bodyBytes = (1U << 20U) + 1;
    CHECK(refusalReasonFor(arrived) == RefusalReason::TooLarge);
    arrived.bodyBytes = 0;
    arrived.key = "two words";
    CHECK(refusalReasonFor(arrived) == RefusalReason::BadKey);
    std::mt19937_64 random(1);
    arrived.key = "0fffffff-ffff-7000-8000-000000000000";
    CHECK(refusalReasonFor(arrived) == RefusalReason::BadKey);
    arrived.key.clear();
    arrived.token = "forged";
    CHECK(refusalReasonFor(arrived) == RefusalReason::BadToken);
    CHECK(fleet.runs.empty());
}
