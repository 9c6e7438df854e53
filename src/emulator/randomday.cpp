/// Days with troubles drawn at random.
#include "emulator/randomday.h"

#include "emulator/troubles.h"

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace flamingograde::emulator {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t fewestTroubles = 3;
constexpr std::uint64_t moreTroubles = 4; ///< Up to so many less one beside the fewest.
constexpr std::uint64_t fewestOfCrowded = 5;
constexpr std::uint64_t moreOfCrowded = 9;
constexpr std::uint64_t evacuationsMax = 3; ///< Added to an evacuated day, which gets at least one.

/// The kinds of `randomDay`. Kept as they are, so that a seed goes on to draw the same day.
const std::vector<std::string> drawnKinds {
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

/// Returns the kinds of `crowdedDay`. Fixed, so that a seed keeps drawing the same day.
auto crowdedKinds() -> std::vector<std::string>
{
    auto kinds = drawnKinds;
    kinds.insert(kinds.end(), { "upstream-cut", "upstream-restart" });
    std::sort(kinds.begin(), kinds.end());
    return kinds;
}

constexpr std::uint64_t lossyEvery = 5; ///< One of so many days loses packets.
constexpr double lossMost = 0.1;

/// Draws the fields of one trouble.
class TroubleDraw
{
public:
    TroubleDraw(const DayPlan &day, std::vector<std::string> drawn, std::uint64_t seed)
        : plan(day), kinds(std::move(drawn)), random(seed)
    {}

    auto below(std::uint64_t limit) -> std::uint64_t { return this->random() % limit; }

    auto part(double most) -> double
    {
        return std::uniform_real_distribution<double>(0, most)(this->random);
    }

    auto next() -> TroublePlan { return this->next(this->kinds[this->below(this->kinds.size())]); }

    auto next(const std::string &kind) -> TroublePlan
    {
        TroublePlan trouble;
        trouble.kind = kind;
        trouble.at = std::chrono::milliseconds(this->below(toMs(this->plan.length)));
        trouble.lasts = std::chrono::milliseconds(500 + this->below(6000));
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
        if (kind == "store-down") {
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

auto drawDay(DayPlan day, TroubleDraw &draw, std::uint64_t fewest, std::uint64_t more,
             std::uint64_t seed) -> DayPlan
{
    std::vector<TroublePlan> troubles;
    for (auto left = fewest + draw.below(more); left > 0; --left) {
        troubles.push_back(draw.next());
    }
    const auto loss = draw.below(lossyEvery) == 0 ? draw.part(lossMost) : 0.0;
    day.troubles = std::move(troubles);
    day.packetLoss = loss;
    day.seed = seed;
    return day;
}

} // namespace

auto randomDay(DayPlan day, std::uint64_t seed) -> DayPlan
{
    TroubleDraw draw(day, drawnKinds, seed);
    return drawDay(day, draw, fewestTroubles, moreTroubles, seed);
}

auto crowdedDay(DayPlan day, std::uint64_t seed) -> DayPlan
{
    TroubleDraw draw(day, crowdedKinds(), seed);
    return drawDay(day, draw, fewestOfCrowded, moreOfCrowded, seed);
}

auto evacuatedDay(DayPlan day, std::uint64_t seed) -> DayPlan
{
    TroubleDraw draw(day, troubleKinds(), seed);
    auto drawn = drawDay(day, draw, fewestOfCrowded, moreOfCrowded, seed);
    for (auto left = 1 + draw.below(evacuationsMax); left > 0; --left) {
        drawn.troubles.push_back(draw.next("zone-evacuate"));
    }
    return drawn;
}

} // namespace flamingograde::emulator
