/// Tests how soon a change of the platform is in force on hosts that nothing happens to, while
/// other hosts are lost in every way, at drawn moments.
#include "core/milliseconds.h"
#include "emulator/emulation.h"
#include "emulator/randomday.h"
#include "exampleday.h"

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
        for (std::size_t i = 0; i < this->emulation.hostCount(); ++i) {
            if (!this->isSpared(i)) {
                this->lose(i, static_cast<Loss>(isMixed ? this->below(lossKinds) : kind), duration);
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

    auto lose(std::size_t index, Loss kind, Duration duration) -> void
    {
        auto &host = this->emulation.host(index);
        auto &network = this->emulation.network();
        const auto later = [&](auto action) { this->emulation.clock().later(duration, action); };
        if (kind == Loss::Power && host.life() != HostLife::Off) {
            host.kill(true);
            later([&host] { host.life() == HostLife::Off ? host.start() : void(); });
        } else if (kind == Loss::Kill && host.life() == HostLife::Running) {
            host.restart();
        } else if (kind == Loss::Freeze && host.life() == HostLife::Running) {
            host.freeze();
            later([&host] { host.wake(); });
        } else if (kind == Loss::Cut || kind == Loss::CutFromStore) {
            const auto name = host.name();
            kind == Loss::Cut ? network.cutPlace(name, LinkFault::Silent)
                              : network.cutFromStore(name, LinkFault::Silent);
            later([&network, name] { network.heal(name); });
        }
    }

    std::mt19937_64 random;
    std::string spared;
    Emulation emulation;
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
