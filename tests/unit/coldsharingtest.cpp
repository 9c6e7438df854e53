/// Tests of the requests that hosts send to cold upstreams of a service with a cold limit.
#include "packetboard.h"

#include "core/packets/coldsharing.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr double limitPerSecond = 3;
constexpr Duration coldTime = 6s;

auto isLiveOfZoneA(std::uint64_t instance) -> bool
{
    return instance == 1 || instance == 2 || instance == 3;
}

/// A host of zone "a", whose hosts are `zoneHosts`; the service "live" has a cold limit.
class ColdBoard : public PacketBoard
{
public:
    ColdBoard(const std::string &self, const std::vector<std::string> &zoneHosts,
              ColdPolicy policy = ColdPolicy::Owner)
    {
        this->board.init.coldPolicy = policy;
        this->board.init.coldExcess = 1.5;
        this->board.init.coldSlack = 5;
        this->board.init.self.zone = ZoneId::ofName("a");
        auto &membership = this->board.membership;
        membership.self = HostId::ofName(self);
        for (const auto &name : zoneHosts) {
            auto &member = membership.records()[HostId::ofName(name)].member;
            member.id = HostId::ofName(name);
            member.zone = ZoneId::ofName("a");
        }
        membership.invalidateLookups();
        membership.refresh();
        auto rows = std::make_shared<PacketRows>(*bothRows(20));
        rows->coldLimits = { { ServiceId::ofName("live"), "live", coldTime, limitPerSecond } };
        DirectoryUpdate update;
        update.after = { 10 };
        update.upTo = { 20 };
        update.rows = rows;
        this->take(update);
    }

    /// Updates the directory: the upstreams of "live" in zone "a" have just started.
    auto restartNearUpstreams() -> void
    {
        DirectoryUpdate update;
        update.after = this->board.directory.revision();
        update.upTo = { update.after.number + 3 };
        for (const std::uint64_t instance : { 1, 2, 3 }) {
            auto cold = record(instance, "live", "a", update.after.number + instance);
            cold.upstream.warmup = coldTime;
            update.present.push_back(cold);
        }
        this->take(update);
    }

    /// Sends an opening packet every 2 ms for `duration`. @returns how many of them were
    /// forwarded to upstreams of "live" in zone "a".
    auto sendOpenings(Duration duration) -> std::size_t
    {
        std::size_t cold = 0;
        const auto end = this->board.now.mono + duration;
        while (this->board.now.mono < end) {
            this->advance(2ms);
            const auto decision = this->open(++this->port);
            const auto isForwarded = decision.verdict == PacketVerdict::Forward;
            cold += isForwarded && isLiveOfZoneA(decision.targets[0].instance.value()) ? 1 : 0;
            if (isForwarded) { // Its upstream answers, and the caller closes the flow.
                auto head = following(this->port, decision.targets[0].cookie, feedAddress);
                head.flags.finishes = true;
                this->steer(head);
            }
        }
        return cold;
    }

private:
    std::uint16_t port = 1000;
};

const std::vector<std::string> hostNames { "h1", "h2", "h3", "h4", "h5", "h6" };

} // namespace

TEST_CASE("cold upstreams get requests up to their limit and other zones get the rest", "[cold]")
{
    ColdBoard host("h1", { "h1" });
    CHECK(host.sendOpenings(500ms) > 0);
    host.restartNearUpstreams();
    // Each of the three upstreams gets at most its limit per second for three seconds, and the
    // one request that a full token bucket allows.
    const auto cold = host.sendOpenings(3s);
    CHECK(cold <= 3 * (3 * limitPerSecond + 1));
    CHECK(cold >= 2 * 3 * limitPerSecond);
    host.advance(coldTime);
    CHECK(host.board.directory.coldLimitedCount() == 0);
    CHECK(host.sendOpenings(500ms) > 100);
}

TEST_CASE("a new owner of a cold upstream starts with an empty token bucket", "[cold]")
{
    ColdBoard host("h1", { "h1" });
    host.restartNearUpstreams();
    CHECK(host.sendOpenings(300ms) == 0);
    CHECK(host.sendOpenings(200ms) > 0);
}

TEST_CASE("each cold upstream has one owner among the hosts of its zone, which uses its whole cold "
          "limit",
          "[cold]")
{
    std::size_t all = 0;
    for (const auto &name : hostNames) {
        ColdBoard host(name, hostNames);
        host.restartNearUpstreams();
        all += host.sendOpenings(3s);
    }
    CHECK(all <= 3 * (3 * limitPerSecond + 1));
    CHECK(all >= 2 * 3 * limitPerSecond);
}

TEST_CASE("two hosts that both act as owner of the cold upstreams together exceed the cold limits "
          "by a bounded amount",
          "[cold]")
{
    // Neither host knows the other, as during a network partition of the zone.
    std::size_t sentInOneSecond = 0;
    for (const auto *name : { "h1", "h2" }) {
        ColdBoard host(name, { name });
        host.restartNearUpstreams();
        host.sendOpenings(1s);
        sentInOneSecond += host.sendOpenings(1s);
    }
    constexpr double bound = limitPerSecond * 1.5 + 5;
    CHECK(sentInOneSecond <= 3 * bound);
}

TEST_CASE("a host that has just started owns no cold upstream", "[cold]")
{
    ColdBoard host("h1", { "h1" });
    host.board.membership.startedAt = host.board.now.mono;
    host.restartNearUpstreams();
    CHECK(host.sendOpenings(1400ms) == 0);
    CHECK(host.sendOpenings(1s) > 0);
}

TEST_CASE("cold upstreams of other zones get no new flows, and a flow without an upstream is reset",
          "[cold]")
{
    ColdBoard host("h1", { "h1" });
    DirectoryUpdate update;
    update.after = { 20 };
    update.upTo = { 21 };
    auto far = record(4, "live", "b", 21);
    far.upstream.warmup = coldTime;
    update.present = { far };
    host.take(update);
    host.restartNearUpstreams();
    host.sendOpenings(2s);
    const auto first = host.open(7);
    const auto second = host.open(8);
    const auto third = host.open(9);
    const auto fourth = host.open(10);
    CHECK(fourth.verdict == PacketVerdict::Reset);
    CHECK(fourth.reason == PacketReason::NoUpstream);
    for (const auto &decision : { first, second, third }) {
        CHECK((decision.verdict == PacketVerdict::Reset
               || isLiveOfZoneA(decision.targets[0].instance.value())));
    }
}

TEST_CASE("requests on open flows count against the cold limit", "[cold]")
{
    ColdBoard host("h1", { "h1" });
    host.restartNearUpstreams();
    host.advance(2s);
    auto &entry = host.entry(1);
    REQUIRE(entry.allowance.hasToken());
    const auto cookie = Cookie::of(InstanceId(1));
    auto request = PacketBoard::following(7, cookie, feedAddress);
    request.dataBytes = 100;
    host.steer(request);
    CHECK_FALSE(entry.allowance.hasToken());
}

TEST_CASE("upstreams are cold after an evacuation, until a record without warm-up or the cold time "
          "ends it",
          "[cold]")
{
    ColdBoard host("h1", { "h1" });
    host.evacuate("a", 21);
    DirectoryUpdate update;
    update.after = { 21 };
    update.upTo = { 22 };
    update.evacuations = { { ZoneId::ofName("a"), "a", { 22 }, false } };
    host.take(update);
    CHECK(host.board.directory.coldLimitedCount() == 3);
    DirectoryUpdate warm;
    warm.after = { 22 };
    warm.upTo = { 23 };
    warm.present = { record(2, "live", "a", 23) };
    host.take(warm);
    CHECK(host.board.directory.coldLimitedCount() == 2);
    CHECK_FALSE(host.entry(2).isColdLimited);
    host.advance(coldTime);
    CHECK(host.board.directory.coldLimitedCount() == 0);
}

TEST_CASE("a cold limit split equally between 18 hosts lets a host send no request within the cold "
          "time",
          "[cold]")
{
    std::vector<std::string> largeZone;
    for (int i = 0; i < 18; ++i) {
        largeZone.push_back("h" + std::to_string(i));
    }
    ColdBoard host("h1", largeZone, ColdPolicy::Split);
    host.restartNearUpstreams();
    CHECK(host.sendOpenings(5s) == 0);
}

TEST_CASE("cold limits are lifted when new rows have none", "[cold]")
{
    ColdBoard host("h1", { "h1" });
    host.restartNearUpstreams();
    CHECK(host.board.directory.coldLimitedCount() == 3);
    DirectoryUpdate update;
    update.after = host.board.directory.revision();
    update.upTo = { 40 };
    update.rows = bothRows(40);
    host.take(update);
    CHECK(host.board.directory.coldLimitedCount() == 0);
    CHECK(host.sendOpenings(200ms) > 50);
}

} // namespace flamingograde
