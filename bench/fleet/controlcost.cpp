#include "controlcost.h"

#include "barefleet.h"
#include "controldeployment.h"
#include "hostcost.h"
#include "leastsquares.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <cstdio>
#include <string>

using harness::Millis;

namespace {

constexpr Millis warmUpTime { 4000 };       ///< Delay from the start to the first measurement...
constexpr Millis warmUpTimePerHost { 400 }; ///< ...and per host, as each join is gossiped to all.
constexpr Millis idleTime { 6000 };         ///< Longer than the probe and host-list periods.
constexpr Millis editsTime { 4000 };
/// Time between table edits. Their rate is 14 times the design rate, so that their cost is visible.
constexpr Millis editPeriod { 1000 };
constexpr Millis churnTime { 5000 };
constexpr int rollouts = 3;
/// Four hosts per zone: two read the table from the platform, two request it from other hosts.
constexpr std::size_t editHosts = 12;

auto makeWeightEdit(int number) -> std::string
{
    return "row packs weight=" + std::to_string(2 + number % 2);
}

auto measureIdle(harness::Loop &loop, BareFleet &fleet) -> HostCost
{
    CostMeter meter(fleet);
    loop.runFor(idleTime);
    return meter.read();
}

auto measureEdits(harness::Loop &loop, BareFleet &fleet) -> HostCost
{
    CostMeter meter(fleet);
    const auto edits = editsTime / editPeriod;
    for (int i = 0; i < edits; ++i) {
        fleet.publish(makeWeightEdit(i));
        loop.runFor(editPeriod);
    }
    return meter.read();
}

/// Returns the longest time in seconds until an edit was in force on all hosts; null if one was not
/// in force within the timeout of `BareFleet::waitInForce`.
auto measureRollouts(harness::Loop &loop, BareFleet &fleet) -> nlohmann::json
{
    double longest = 0;
    for (int i = 0; i < rollouts; ++i) {
        fleet.publish(makeWeightEdit(i + 1));
        const auto seconds = fleet.waitInForce();
        if (!seconds) {
            return nullptr;
        }
        longest = std::max(longest, *seconds);
        loop.runFor(editPeriod);
    }
    return longest;
}

/// Returns the cost while one host is killed and another one replaces it.
auto measureChurn(harness::Loop &loop, BareFleet &fleet) -> HostCost
{
    CostMeter meter(fleet);
    fleet.replaceHost("z1-0", "z1-new");
    loop.runFor(churnTime);
    return meter.read();
}

auto measureSize(harness::Loop &loop, const Progress &progress, std::size_t hosts) -> nlohmann::json
{
    BareFleet fleet(loop, controlDeployment(hosts));
    fleet.startHosts();
    loop.runFor(warmUpTime + warmUpTimePerHost * hosts);
    nlohmann::json measured { { "hosts", hosts } };
    measured["idle"] = measureIdle(loop, fleet).toJson();
    measured["rollout_seconds_max"] = measureRollouts(loop, fleet);
    measured["edits_per_second"] = 1000.0 / static_cast<double>(editPeriod.count());
    measured["edits"] = measureEdits(loop, fleet).toJson();
    measured["churn_seconds"] = static_cast<double>(churnTime.count()) / 1000;
    measured["churn"] = measureChurn(loop, fleet).toJson();
    progress.print(std::to_string(hosts)
                   + " hosts: " + measured["idle"]["bytes_sent_per_second"]["mean"].dump()
                   + " bytes/s sent by a host, cpu share "
                   + measured["idle"]["cpu_share"]["mean"].dump() + ", edit in force after "
                   + measured["rollout_seconds_max"].dump() + " s");
    return measured;
}

/// Fits a line through the values at JSON pointer `field` for fleets with flat membership.
auto fitLine(const nlohmann::json &sizes, const std::string &field) -> Line
{
    std::vector<Point> points;
    const nlohmann::json::json_pointer path(field);
    for (const auto &size : sizes) {
        if (size.at("hosts") <= flamingograde::config::flatMembershipHosts) {
            points.push_back({ size.at("hosts"), size.at(path) });
        }
    }
    return leastSquares(points);
}

} // namespace

auto measureControlCost(harness::Loop &loop, const Progress &progress,
                        const std::vector<std::size_t> &sizes) -> nlohmann::json
{
    nlohmann::json measured { { "sizes", nlohmann::json::array() } };
    for (const auto hosts : sizes) {
        measured["sizes"].push_back(measureSize(loop, progress, hosts));
    }
    if (sizes.size() > 1) {
        const auto &list = measured["sizes"];
        measured["lines"] = {
            { "bytes_sent", fitLine(list, "/idle/bytes_sent_per_second/mean").toJson() },
            { "messages_sent", fitLine(list, "/idle/messages_sent_per_second/mean").toJson() },
            { "cpu_share", fitLine(list, "/idle/cpu_share/mean").toJson() },
            { "resident_bytes", fitLine(list, "/idle/resident_bytes/mean").toJson() },
            { "platform_calls", fitLine(list, "/idle/platform_calls_per_second").toJson() },
        };
    }
    return measured;
}

auto measureEditCost(harness::Loop &loop, const Progress &progress) -> nlohmann::json
{
    auto measured = nlohmann::json::array();
    for (const int upstreams : { 0, 4000 }) {
        BareFleet fleet(loop, controlDeployment(editHosts));
        fleet.addIdleUpstreams(upstreams);
        fleet.startHosts();
        loop.runFor(warmUpTime + warmUpTimePerHost * editHosts);
        const auto idle = measureIdle(loop, fleet);
        const auto rollout = measureRollouts(loop, fleet);
        const auto edits = measureEdits(loop, fleet);
        measured.push_back({ { "table_bytes", fleet.tableBytes() },
                             { "hosts", editHosts },
                             { "rollout_seconds_max", rollout },
                             { "idle", idle.toJson() },
                             { "edits", edits.toJson() } });
        progress.print("table of " + std::to_string(fleet.tableBytes())
                       + " bytes: " + std::to_string(edits.bytesSent.mean)
                       + " bytes/s sent by a host during edits, edit in force after "
                       + rollout.dump() + " s");
    }
    return measured;
}
