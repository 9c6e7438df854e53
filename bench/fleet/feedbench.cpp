#include "feedbench.h"

#include "barefleet.h"
#include "controldeployment.h"
#include "hostcost.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <string>

using harness::Millis;

namespace {

constexpr std::size_t hosts = 8;
constexpr int feedsEach = 1050; ///< Of a host: 600 for each of 14 upstreams over all hosts.
constexpr double rateEach = 2000;
constexpr double eventsPerSecond = 1; ///< Of a feed: `event_ms` of control.toml.
constexpr Millis openLimit { 60000 };
constexpr Millis calmTime { 6000 };
constexpr Millis costTime { 3000 };

auto openFeeds(BareFleet &fleet, const std::string &host) -> void
{
    auto &callers = fleet.callers();
    const auto name = "feeds-" + host;
    callers.call({ { "cmd", "load" },
                   { "name", name },
                   { "kind", "feed" },
                   { "address", fleet.listenerOf(host, "pack-feed") },
                   { "rate", rateEach },
                   { "flows", feedsEach } });
    callers.call({ { "cmd", "wait" }, { "name", name } }, openLimit);
}

/// Returns how many feeds each upstream of the feeds' service has open.
auto countFeeds(BareFleet &fleet) -> std::map<std::string, double>
{
    const auto ledger = fleet.upstreams().call({ { "cmd", "ledger" }, { "limit", 1 } });
    std::map<std::string, double> open;
    for (const auto &plan : fleet.plan().upstreams) {
        if (plan.record.at("service") == "live-pack") {
            open[plan.name] = ledger.at("by_upstream").at(plan.name).at("feeds_open");
        }
    }
    return open;
}

auto costOver(harness::Loop &loop, BareFleet &fleet) -> HostCost
{
    CostMeter meter(fleet);
    loop.runFor(costTime);
    return meter.read();
}

/// The largest of several means of random draws is about this many deviations from the mean.
auto expectedOfRandom(double count, double upstreams) -> double
{
    return std::sqrt(2 * std::log(2 * upstreams)) / std::sqrt(count / upstreams);
}

} // namespace

auto measureFeeds(harness::Loop &loop, const Progress &progress) -> nlohmann::json
{
    BareFleet fleet(loop, controlDeployment(hosts));
    fleet.startHosts();
    loop.runFor(calmTime);
    const auto before = costOver(loop, fleet);
    for (const auto &host : fleet.plan().hosts) {
        openFeeds(fleet, host.name);
    }
    const auto after = costOver(loop, fleet);
    const auto open = countFeeds(fleet);
    const auto upstreams = static_cast<double>(open.size());
    const auto total =
            std::accumulate(open.begin(), open.end(), 0.0,
                            [](double sum, const auto &entry) { return sum + entry.second; });
    double imbalance = 0;
    for (const auto &[upstream, count] : open) {
        imbalance = std::max(imbalance, std::abs(count * upstreams / total - 1));
    }
    progress.say("imbalance of feeds " + std::to_string(imbalance));
    return { { "feeds", total },
             { "upstreams", upstreams },
             { "resident_bytes_each",
               (after.residentBytes.mean - before.residentBytes.mean) / feedsEach },
             { "cpu_share_each", (after.cpuShare.mean - before.cpuShare.mean) / feedsEach },
             { "events_per_second_each", eventsPerSecond },
             { "imbalance", imbalance },
             { "expected_of_random", expectedOfRandom(total, upstreams) },
             { "by_upstream", open } };
}
