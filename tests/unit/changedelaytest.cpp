/// Tests how soon a change of the platform is in force on hosts that nothing happens to, while
/// other hosts are lost in every way, at drawn moments.
#include "core/milliseconds.h"
#include "emulator/emulation.h"
#include "emulator/randomday.h"
#include "exampleday.h"
#include "overlayfleet.h"

#include <flamingograde/config.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace flamingograde::emulator {

namespace {

using namespace std::chrono_literals;

constexpr Duration lossLongest = 4s;
constexpr Duration oldCopyMax = 3s;
constexpr Duration undisturbedAfter = 4s; ///< From when on hosts count as undisturbed.

/// Returns a day without troubles of three zones with four, three and two hosts.
auto threeZoneDay(double requestsPerSecond) -> DayPlan
{
    auto day = loadDay("power-cut");
    day.troubles.clear();
    day.zones = { { "lahore", 4, requestsPerSecond },
                  { "faisalabad", 3, requestsPerSecond },
                  { "multan", 2, requestsPerSecond } };
    for (auto &service : day.services) {
        service.upstreams = { { "lahore", 4 }, { "faisalabad", 4 }, { "multan", 4 } };
    }
    day.length = 62s;
    return day;
}

/// The ways in which a host may be lost to the others.
enum class Loss : std::uint8_t {
    Power,
    Kill,
    Freeze,
    Cut,
    CutFromStore
};

constexpr std::uint64_t lossKinds = 5;

/// The surroundings of a fleet's hosts.
struct Surroundings
{
    VirtualClock &clock;
    Network &network;
};

/// Has a host lost in the given way; it comes back after `duration`.
auto lose(EmulatedHost &host, Surroundings at, Loss kind, Duration duration) -> void
{
    const auto later = [&](auto action) { at.clock.later(duration, action); };
    if (kind == Loss::Power && host.life() != HostLife::Off) {
        host.kill(true);
        later([&host] { host.life() == HostLife::Off ? host.start() : void(); });
    } else if (kind == Loss::Kill && host.life() == HostLife::Running) {
        host.restart();
    } else if (kind == Loss::Freeze && host.life() == HostLife::Running) {
        host.freeze();
        later([&host] { host.wake(); });
    } else if (kind == Loss::Cut || kind == Loss::CutFromStore) {
        const auto &name = host.name();
        kind == Loss::Cut ? at.network.cutPlace(name, LinkFault::Silent)
                          : at.network.cutFromStore(name, LinkFault::Silent);
        later([&network = at.network, name] { network.heal(name); });
    }
}

/// A fleet of three zones, of which one is spared, on a drawn course.
class DrawnFleet
{
public:
    explicit DrawnFleet(std::uint64_t seed) : random(seed), emulation(this->makeDay(seed))
    {
        this->emulation.begin();
        this->emulation.run(this->timeBelow(2s)); // The phase of watches and pings.
    }

    /// Has the hosts of all zones but the spared one lost for a drawn time, each in the same or in
    /// its own way.
    auto loseOthers() -> void
    {
        const auto kind = this->below(lossKinds);
        const auto duration = 200ms + this->timeBelow(lossLongest);
        const auto isMixed = this->below(3) == 0;
        const Surroundings at { this->emulation.clock(), this->emulation.network() };
        for (std::size_t i = 0; i < this->emulation.hostCount(); ++i) {
            if (!this->isSpared(i)) {
                lose(this->emulation.host(i), at,
                     static_cast<Loss>(isMixed ? this->below(lossKinds) : kind), duration);
            }
        }
    }

    /// Publishes rows. @returns the time until the spared hosts have them; 10 s if it is longer.
    auto publish() -> Duration
    {
        this->emulation.publish();
        const auto newest = this->emulation.store().revision().number;
        const auto haveAll = [&] {
            for (std::size_t i = 0; i < this->emulation.hostCount(); ++i) {
                const auto &balancer = this->emulation.host(i).balancer();
                if (this->isSpared(i) && balancer.stats().directoryRevision < newest) {
                    return false;
                }
            }
            return true;
        };
        const auto limit = 10s;
        return this->emulation.clock().runUntil(haveAll, limit).value_or(limit);
    }

    auto timeBelow(Duration limit) -> Duration
    {
        return Duration(
                static_cast<Duration::rep>(this->below(static_cast<std::uint64_t>(limit.count()))));
    }

    auto run(Duration duration) -> void { this->emulation.run(duration); }

    /// Returns whether one of two happens.
    auto toss() -> bool { return this->below(2) == 0; }

private:
    auto below(std::uint64_t limit) -> std::uint64_t { return this->random() % limit; }

    [[nodiscard]] auto isSpared(std::size_t host) -> bool
    {
        return this->emulation.host(host).place().zone == this->spared;
    }

    auto makeDay(std::uint64_t seed) -> DayPlan
    {
        auto day = threeZoneDay(0);
        day.seed = seed;
        day.hosts.start = 10ms + this->timeBelow(200ms);
        day.staleBy = this->timeBelow(oldCopyMax);
        constexpr std::size_t firstOfZone[] = { 0, 4, 7 };
        const auto zone = this->below(std::size(firstOfZone));
        this->spared = day.zones[zone].name;
        if (this->below(3) != 0) {
            day.seeds = { firstOfZone[zone], firstOfZone[zone] + 1 };
        }
        return day;
    }

    std::mt19937_64 random;
    std::string spared;
    Emulation emulation;
};

/// A fleet of one large zone, of which the hubs, and others, are lost until the end.
class DrawnZone
{
public:
    explicit DrawnZone(std::uint64_t seed) : random(seed), fleet(1, largeZone, seed)
    {
        this->fleet.run(4s + this->timeBelow(2s));
    }

    /// Has all hubs lost, and of the others a drawn part, but not all.
    auto loseHosts() -> void
    {
        const auto kind = static_cast<Loss>(this->random() % lossKinds);
        const auto lostOfTen = 5 * (this->random() % 3);
        const Surroundings at { this->fleet.clock, this->fleet.network };
        for (std::size_t i = 0; i < this->fleet.size(); ++i) {
            const auto isLast = i + 1 == this->fleet.size();
            if (i < config::hubsMin || (!isLast && this->random() % 10 < lostOfTen)) {
                lose(this->fleet.host(i), at, kind, forever);
            } else {
                this->spared.push_back(i);
            }
        }
    }

    /// Has the store silent, or refuse all calls, for a drawn time.
    auto haveOutage() -> void
    {
        this->fleet.store.mode = this->toss() ? StoreMode::Silent : StoreMode::Refuses;
        this->fleet.run(this->timeBelow(2 * lossLongest));
        this->fleet.store.mode = StoreMode::Answers;
        this->fleet.run(undisturbedAfter);
    }

    /// Publishes rows. @returns the time until the spared hosts have them; 20 s if it is longer.
    auto publish() -> Duration
    {
        this->fleet.publish();
        const auto newest = this->fleet.store.revision().number;
        const auto hasNewest = [&](std::size_t host) {
            return this->fleet.host(host).balancer().stats().directoryRevision == newest;
        };
        const auto haveAll = [&] {
            return std::all_of(this->spared.begin(), this->spared.end(), hasNewest);
        };
        const auto limit = 20s;
        return this->fleet.clock.runUntil(haveAll, limit).value_or(limit);
    }

    auto run(Duration duration) -> void { this->fleet.run(duration); }
    auto toss() -> bool { return this->random() % 2 == 0; }

    auto timeBelow(Duration limit) -> Duration
    {
        return Duration(static_cast<Duration::rep>(this->random()
                                                   % static_cast<std::uint64_t>(limit.count())));
    }

private:
    static constexpr std::size_t largeZone = 40;
    static constexpr Duration forever = 60s;

    std::mt19937_64 random;
    OverlayFleet fleet;
    std::vector<std::size_t> spared;
};

} // namespace

// Guards against hosts that wait for others which do not read either: those that just returned with
// an old copy, or whose word has waited on a link.
TEST_CASE(
        "a change is in force in time on hosts that nothing happens to, whichever others are lost",
        "[change-delay][emulation]")
{
    constexpr std::uint64_t courses = 400;
    for (std::uint64_t seed = 1; seed <= courses; ++seed) {
        INFO("seed " << seed);
        DrawnFleet fleet(seed);
        fleet.loseOthers();
        if (fleet.toss()) {
            fleet.run(fleet.timeBelow(lossLongest));
            fleet.loseOthers();
        }
        fleet.run(fleet.toss() ? Duration(50ms) : fleet.timeBelow(lossLongest));
        CHECK(milliseconds(fleet.publish()) <= milliseconds(config::changeBound));
    }
}

// Guards against hosts that leave reads to others for longer the larger their zone is, or because a
// hub says that its own reads fail.
TEST_CASE("a change is in force in time in a large zone whose hubs stay lost", "[change-delay]")
{
    constexpr std::uint64_t courses = 200;
    for (std::uint64_t seed = 1; seed <= courses; ++seed) {
        INFO("seed " << seed);
        DrawnZone zone(seed);
        zone.loseHosts();
        zone.toss() ? zone.haveOutage() : zone.run(zone.timeBelow(lossLongest));
        CHECK(milliseconds(zone.publish()) <= milliseconds(config::changeBound));
    }
}

// Guards against the same fault as callers meet it: flows at a leaving upstream, and rows refused.
TEST_CASE("drawn days on which most hosts are lost beside changes violate no invariant",
          "[change-delay][emulation]")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        INFO("seed " << seed);
        const auto result = Emulation(darkDay(threeZoneDay(60), seed)).play();
        CHECK(result.brokenFlows == 0);
        CHECK(result.doubleRuns == 0);
        CHECK(result.wrongService == 0);
        CHECK(result.lateOpenings == 0);
        CHECK(result.lateRows == 0);
        CHECK(result.revertedRows == 0);
    }
}

} // namespace flamingograde::emulator
