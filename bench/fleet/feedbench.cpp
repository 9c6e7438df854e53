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
constexpr int feedsPerHost = 1050; ///< 600 per upstream, with 14 upstreams over all hosts.
constexpr double openRatePerHost = 2000;
constexpr double eventsPerSecond = 1; ///< Per feed; matches `event_ms` in control.toml.
constexpr Millis openTimeout { 60000 };
constexpr Millis warmUpTime { 6000 };
constexpr Millis costTime { 3000 };

auto openFeeds(BareFleet &fleet, const std::string &host) -> void
{
    auto &callers = fleet.callers();
    const auto name = "feeds-" + host;
    callers.call({ { "cmd", "load" },
                   { "name", name },
                   { "kind", "feed" },
                   { "address", fleet.listenerAddress(host, "pack-feed") },
                   { "rate", openRatePerHost },
                   { "flows", feedsPerHost } });
    callers.call({ { "cmd", "wait" }, { "name", name } }, openTimeout);
}

/// Returns the number of open feeds by upstream, for the upstreams of service live-pack.
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

auto measureCost(harness::Loop &loop, BareFleet &fleet) -> HostCost
{
    CostMeter meter(fleet);
    loop.runFor(costTime);
    return meter.read();
}

/// Returns the expected largest relative deviation from the mean when `count` feeds are placed at
/// random: about sqrt(2 ln(2 `upstreams`)) standard deviations.
auto expectedRandomImbalance(double count, double upstreams) -> double
{
    return std::sqrt(2 * std::log(2 * upstreams)) / std::sqrt(count / upstreams);
}

} // namespace

auto measureFeeds(harness::Loop &loop, const Progress &progress) -> nlohmann::json
{
    BareFleet fleet(loop, controlDeployment(hosts));
    fleet.startHosts();
    loop.runFor(warmUpTime);
    const auto before = measureCost(loop, fleet);
    for (const auto &host : fleet.plan().hosts) {
        openFeeds(fleet, host.name);
    }
    const auto after = measureCost(loop, fleet);
    const auto open = countFeeds(fleet);
    const auto upstreams = static_cast<double>(open.size());
    const auto total =
            std::accumulate(open.begin(), open.end(), 0.0,
                            [](double sum, const auto &entry) { return sum + entry.second; });
    double imbalance = 0;
    for (const auto &[upstream, count] : open) {
        imbalance = std::max(imbalance, std::abs(count * upstreams / total - 1));
    }
    progress.print("imbalance of feeds " + std::to_string(imbalance));
    return { { "feeds", total },
             { "upstreams", upstreams },
             { "resident_bytes_each",
               (after.residentBytes.mean - before.residentBytes.mean) / feedsPerHost },
             { "cpu_share_each", (after.cpuShare.mean - before.cpuShare.mean) / feedsPerHost },
             { "events_per_second_each", eventsPerSecond },
             { "imbalance", imbalance },
             { "expected_of_random", expectedRandomImbalance(total, upstreams) },
             { "by_upstream", open } };
}
