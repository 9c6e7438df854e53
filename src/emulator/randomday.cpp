/// Generates days with random troubles.
#include "emulator/randomday.h"

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace flamingograde::emulator {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t randomTroublesMin = 3;
constexpr std::uint64_t randomTroublesExtra = 4; ///< Exclusive bound on those above the minimum.
constexpr std::uint64_t crowdedTroublesMin = 5;
constexpr std::uint64_t crowdedTroublesExtra = 9;
constexpr std::uint64_t evacuationsMax = 3; ///< Added to an evacuated day, which gets at least one.

/// Trouble kinds used by `randomDay`. Fixed, so that a seed always generates the same day.
const std::vector<std::string> randomDayKinds {
    "address-reuse",
    "burst",
    "callers-move",
    "host-add",
    "host-cut",
    "host-freeze",
    "host-kill",
    "host-stop",
    "release",
    "rows",
    "scale-in",
    "store-down",
    "store-forgets",
    "store-loses-answers",
    "store-refuses-hosts",
    "store-slow",
    "upstream-fail",
    "upstream-slow",
    "zone-cut",
};

/// Returns the trouble kinds used by `crowdedDay`. Fixed, so that a seed always generates the same
/// day.
auto crowdedDayKinds() -> std::vector<std::string>
{
    auto kinds = randomDayKinds;
    kinds.insert(kinds.end(), { "upstream-cut", "upstream-restart" });
    std::sort(kinds.begin(), kinds.end());
    return kinds;
}

/// Returns the trouble kinds used by `evacuatedDay`. Fixed, so that a seed always generates the
/// same day.
auto evacuatedDayKinds() -> std::vector<std::string>
{
    auto kinds = crowdedDayKinds();
    kinds.emplace_back("zone-evacuate");
    return kinds;
}

/// The ways in which the hosts of a zone are lost on a dark day.
const std::vector<std::pair<std::string, std::string>> darkDayLosses {
    { "host-kill", "power" },
    { "host-kill", "" },
    { "host-freeze", "" },
    { "host-cut", "" },
};

constexpr Duration darkDayRound = 10s; ///< Pause between two losses of most hosts.
constexpr Duration darkDayLossMax = 4s;
constexpr Duration darkDayOldCopyMax = 3s;
constexpr Duration releaseLead = 1s; ///< From the begin of a release until the upstream drains.

constexpr std::uint64_t restoresMax = 3; ///< Of a restored day, which gets at least one.
/// Versions of the rows and replaced upstreams that a restored day gets besides its troubles, so
/// that there is something to lose.
constexpr std::size_t restoredDayVersions = 24;
constexpr double restoredDayReleases = 0.5;

constexpr std::uint64_t lossyDayPeriod = 5; ///< One day in this many has packet loss.
constexpr double packetLossMax = 0.1;

/// Generates random values for the fields of a trouble.
class TroubleGenerator
{
public:
    TroubleGenerator(const DayPlan &day, std::vector<std::string> drawn, std::uint64_t seed)
        : plan(day), kinds(std::move(drawn)), random(seed)
    {}

    auto below(std::uint64_t limit) -> std::uint64_t { return this->random() % limit; }

    auto part(double most) -> double
    {
        return std::uniform_real_distribution<double>(0, most)(this->random);
    }

    auto timeBelow(Duration limit) -> Duration
    {
        return std::chrono::milliseconds(this->below(toMs(limit)));
    }

    auto next() -> TroublePlan { return this->next(this->kinds[this->below(this->kinds.size())]); }

    auto next(const std::string &kind) -> TroublePlan
    {
        TroublePlan trouble;
        trouble.kind = kind;
        trouble.at = std::chrono::milliseconds(this->below(toMs(this->plan.length)));
        trouble.duration = std::chrono::milliseconds(500 + this->below(6000));
        trouble.gap = std::chrono::milliseconds(100 + this->below(1500));
        trouble.share = 0.1 + this->part(0.5);
        trouble.count = 1 + this->below(3);
        trouble.factor = 1.5 + this->part(5);
        trouble.zone = this->below(2) == 0 ? "" : this->zone();
        trouble.how = this->how(trouble.kind);
        if (trouble.kind == "zone-cut" || trouble.kind == "zone-evacuate") {
            trouble.zone = this->zone();
        }
        return trouble;
    }

private:
    static auto toMs(Duration duration) -> std::uint64_t
    {
        return static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    }

    auto zone() -> std::string
    {
        return this->plan.zones[this->below(this->plan.zones.size())].name;
    }

    auto how(const std::string &kind) -> std::string
    {
        const auto first = this->below(2) == 0;
        if (kind == "upstream-fail" || kind == "address-reuse" || kind == "upstream-restart") {
            return first ? "dark" : "";
        }
        if (kind == "upstream-cut") {
            return this->below(3) == 0 ? "" : first ? "hosts" : "store";
        }
        if (kind == "host-kill") {
            return first ? "power" : "";
        }
        if (kind == "store-down" || kind == "store-restore") {
            return first ? "busy-lapse" : "silent-lapse";
        }
        if (kind == "store-refuses-hosts") {
            return first ? "busy" : "silent";
        }
        if (kind == "zone-evacuate") {
            return first ? "warm" : "";
        }
        if (kind == "callers-move") {
            return this->zone();
        }
        return first ? "reset" : "";
    }

    const DayPlan &plan;
    std::vector<std::string> kinds;
    std::mt19937_64 random;
};

auto generateDay(DayPlan day, TroubleGenerator &draw, std::uint64_t troublesMin,
                 std::uint64_t troublesExtra, std::uint64_t seed) -> DayPlan
{
    std::vector<TroublePlan> troubles;
    for (auto left = troublesMin + draw.below(troublesExtra); left > 0; --left) {
        troubles.push_back(draw.next());
    }
    const auto loss = draw.below(lossyDayPeriod) == 0 ? draw.part(packetLossMax) : 0.0;
    day.troubles = std::move(troubles);
    day.packetLoss = loss;
    day.seed = seed;
    return day;
}

/// Appends the loss of all zones' hosts but one zone's, and changes of which most begin just after
/// it. Each zone is lost once or twice, in its own way or in that of all.
auto addDarkRound(DayPlan &day, TroubleGenerator &draw, const std::string &spared, Duration at)
        -> void
{
    const auto common = draw.below(darkDayLosses.size());
    const auto isMixed = draw.below(3) == 0;
    const auto duration = 500ms + draw.timeBelow(darkDayLossMax);
    for (auto times = 1 + draw.below(2); times > 0; --times) {
        for (const auto &zone : day.zones) {
            const auto &[kind, how] =
                    darkDayLosses[isMixed ? draw.below(darkDayLosses.size()) : common];
            TroublePlan loss;
            loss.kind = kind;
            loss.how = how;
            loss.at = at;
            loss.duration = duration;
            loss.share = 1;
            loss.zone = zone.name;
            if (zone.name != spared) {
                day.troubles.push_back(loss);
            }
        }
        TroublePlan rows;
        rows.kind = "rows";
        rows.at = at + (draw.below(2) == 0 ? Duration(50ms) : draw.timeBelow(duration));
        TroublePlan release;
        release.kind = "release";
        release.at = rows.at - releaseLead;
        release.zone = spared;
        day.troubles.insert(day.troubles.end(), { rows, release });
        at += draw.timeBelow(darkDayLossMax);
    }
}

/// Returns the numbers of a zone's first hosts, at most as many as there are seeds.
auto seedsIn(const DayPlan &day, const std::string &zone) -> std::vector<std::size_t>
{
    std::vector<std::size_t> seeds;
    std::size_t number = 0;
    for (const auto &planned : day.zones) {
        for (std::size_t i = 0; i < planned.hosts; ++i, ++number) {
            if (planned.name == zone && seeds.size() < day.seeds.size()) {
                seeds.push_back(number);
            }
        }
    }
    return seeds;
}

} // namespace

auto darkDay(DayPlan day, std::uint64_t seed) -> DayPlan
{
    TroubleGenerator draw(day, randomDayKinds, seed);
    day.troubles.clear();
    day.seed = seed;
    day.staleBy = draw.timeBelow(darkDayOldCopyMax);
    const auto &firstSpared = day.zones[draw.below(day.zones.size())].name;
    if (draw.below(3) != 0) {
        day.seeds = seedsIn(day, firstSpared);
    }
    auto spared = firstSpared;
    for (auto at = Duration(darkDayRound / 2); at < day.length; at += darkDayRound) {
        addDarkRound(day, draw, spared, at + draw.timeBelow(darkDayRound / 4));
        spared = day.zones[draw.below(day.zones.size())].name;
    }
    return day;
}

auto randomDay(DayPlan day, std::uint64_t seed) -> DayPlan
{
    TroubleGenerator draw(day, randomDayKinds, seed);
    return generateDay(day, draw, randomTroublesMin, randomTroublesExtra, seed);
}

auto crowdedDay(DayPlan day, std::uint64_t seed) -> DayPlan
{
    TroubleGenerator draw(day, crowdedDayKinds(), seed);
    return generateDay(day, draw, crowdedTroublesMin, crowdedTroublesExtra, seed);
}

auto evacuatedDay(DayPlan day, std::uint64_t seed) -> DayPlan
{
    TroubleGenerator draw(day, evacuatedDayKinds(), seed);
    auto drawn = generateDay(day, draw, crowdedTroublesMin, crowdedTroublesExtra, seed);
    for (auto left = 1 + draw.below(evacuationsMax); left > 0; --left) {
        drawn.troubles.push_back(draw.next("zone-evacuate"));
    }
    return drawn;
}

auto restoredDay(DayPlan day, std::uint64_t seed) -> DayPlan
{
    TroubleGenerator draw(day, evacuatedDayKinds(), seed);
    auto drawn = generateDay(day, draw, randomTroublesMin, randomTroublesExtra, seed);
    for (auto left = 1 + draw.below(restoresMax); left > 0; --left) {
        drawn.troubles.push_back(draw.next("store-restore"));
    }
    auto versions = draw.next("rows");
    versions.at = Duration(0);
    versions.count = restoredDayVersions;
    auto releases = draw.next("release");
    releases.at = Duration(0);
    releases.share = restoredDayReleases;
    drawn.troubles.insert(drawn.troubles.end(), { versions, releases });
    return drawn;
}

} // namespace flamingograde::emulator
