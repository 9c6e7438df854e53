#include "feedbench.h"

#include "barefleet.h"

#include "harness/tomlfile.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

using harness::Millis;

namespace {

constexpr std::size_t hosts = 8;
constexpr int feedsEach = 1050; ///< Of a host: 600 for each of 14 upstreams over all hosts.
constexpr double rateEach = 500;
constexpr Millis openLimit { 60000 };

auto deploymentOfFeeds() -> harness::Deployment
{
    auto deployment = harness::Deployment::fromJson(
            harness::readToml(std::string(FLAMINGOGRADE_BENCH) + "/control.toml"));
    for (std::size_t i = 0; i < hosts; ++i) {
        const auto &zone = deployment.zones[i % deployment.zones.size()];
        deployment.hosts.push_back({ zone + "-" + std::to_string(i), zone });
    }
    return deployment;
}

/// Opens feeds at a host. @returns how many are open at each upstream.
auto openFeeds(BareFleet &fleet, const std::string &host) -> std::map<std::string, int>
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
    return callers.call({ { "cmd", "report" }, { "name", name } }).at("by_upstream");
}

/// The largest of several means of random draws is about this many deviations from the mean.
auto expectedOfRandom(double count, double upstreams) -> double
{
    return std::sqrt(2 * std::log(2 * upstreams)) / std::sqrt(count / upstreams);
}

} // namespace

auto measureFeeds(harness::Loop &loop, const Progress &progress) -> nlohmann::json
{
    BareFleet fleet(loop, deploymentOfFeeds());
    fleet.startHosts();
    std::map<std::string, int> open;
    double total = 0;
    for (const auto &host : fleet.plan().hosts) {
        for (const auto &[upstream, count] : openFeeds(fleet, host.name)) {
            open[upstream] += count;
            total += count;
        }
    }
    double imbalance = 0;
    const auto upstreams = static_cast<double>(open.size());
    for (const auto &[upstream, count] : open) {
        imbalance = std::max(imbalance, std::abs(count * upstreams / total - 1));
    }
    progress.say("imbalance of feeds " + std::to_string(imbalance));
    return { { "feeds", total },
             { "upstreams", upstreams },
             { "imbalance", imbalance },
             { "expected_of_random", expectedOfRandom(total, upstreams) },
             { "by_upstream", open } };
}
