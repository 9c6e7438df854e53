/// Days with troubles drawn at random.
#include "emulator/randomday.h"

#include "emulator/troubles.h"

#include <random>
#include <utility>

namespace flamingograde::emulator {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t fewestTroubles = 3;
constexpr std::uint64_t moreTroubles = 4; ///< Up to so many less one beside the fewest.
constexpr std::uint64_t lossyEvery = 5;   ///< One of so many days loses packets.
constexpr double lossMost = 0.1;

/// Draws the fields of one trouble.
class TroubleDraw
{
public:
    TroubleDraw(const DayPlan &day, std::uint64_t seed) : plan(day), random(seed) {}

    auto below(std::uint64_t limit) -> std::uint64_t { return this->random() % limit; }

    auto part(double most) -> double
    {
        return std::uniform_real_distribution<double>(0, most)(this->random);
    }

    auto next() -> TroublePlan
    {
        const auto kinds = troubleKinds();
        TroublePlan trouble;
        trouble.kind = kinds[this->below(kinds.size())];
        trouble.at = std::chrono::milliseconds(this->below(toMs(this->plan.length)));
        trouble.lasts = std::chrono::milliseconds(500 + this->below(6000));
        trouble.gap = std::chrono::milliseconds(100 + this->below(1500));
        trouble.share = 0.1 + this->part(0.5);
        trouble.count = 1 + this->below(3);
        trouble.factor = 1.5 + this->part(5);
        trouble.zone = this->below(2) == 0 ? "" : this->zone();
        trouble.how = this->how(trouble.kind);
        if (trouble.kind == "zone-cut") {
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
        if (kind == "upstream-fail" || kind == "address-reuse") {
            return first ? "dark" : "";
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
        if (kind == "callers-move") {
            return this->zone();
        }
        return first ? "reset" : "";
    }

    const DayPlan &plan;
    std::mt19937_64 random;
};

} // namespace

auto randomDay(DayPlan day, std::uint64_t seed) -> DayPlan
{
    TroubleDraw draw(day, seed);
    std::vector<TroublePlan> troubles;
    for (auto left = fewestTroubles + draw.below(moreTroubles); left > 0; --left) {
        troubles.push_back(draw.next());
    }
    const auto loss = draw.below(lossyEvery) == 0 ? draw.part(lossMost) : 0.0;
    day.troubles = std::move(troubles);
    day.packetLoss = loss;
    day.seed = seed;
    return day;
}

} // namespace flamingograde::emulator
