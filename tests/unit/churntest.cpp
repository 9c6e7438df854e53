/// Share of requests served while many hosts are killed, stopped and added.
#include "emulator/emulation.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>

namespace flamingograde::emulator {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t zones = 4;
constexpr std::size_t hostsPerZone = 22;
/// Least share of requests served over the whole run: half a minute with planned stops and single
/// host failures may cost a tenth.
constexpr double minShare = 0.9;
/// Least share in each window of two seconds, from two seconds after the last disturbance on.
constexpr double minShareAfterwards = 0.97;

auto makeRow(const std::string &name, bool longFlows, std::uint16_t port) -> RowPlan
{
    RowPlan row;
    row.load.name = name;
    row.load.address = { 0xc6120001, port };
    row.load.longFlows = longFlows;
    row.load.idempotent = longFlows;
    row.load.target = 250ms;
    row.load.deadline = 1500ms;
    row.shares = { { "live", 1 } };
    return row;
}

auto makeTrouble(const std::string &kind, Duration at, double share) -> TroublePlan
{
    TroublePlan trouble;
    trouble.kind = kind;
    trouble.at = at;
    trouble.share = share;
    return trouble;
}

/// Returns a plan in which hosts are killed, stopped one after the other and added, all within ten
/// seconds.
/// @param message the processor time that a host spends on a message of another host.
auto churnPlan(Duration message) -> DayPlan
{
    DayPlan day;
    day.name = "churn";
    day.length = 24s;
    day.hosts.packet = 500us;
    day.hosts.message = message;
    ServicePlan live;
    live.name = "live";
    for (std::size_t i = 1; i <= zones; ++i) {
        const auto zone = "zone-" + std::to_string(i);
        day.zones.push_back({ zone, hostsPerZone, 60 });
        live.upstreams[zone] = 8;
    }
    day.services = { live };
    day.rows = { makeRow("feed", true, 8443), makeRow("resolutions", false, 8080) };
    for (const auto at : { 1500ms, 4500ms, 7500ms }) {
        day.troubles.push_back(makeTrouble("host-kill", at, 0.08));
    }
    day.troubles.push_back(makeTrouble("host-kill", 6500ms, 0.19));
    auto stops = makeTrouble("host-stop", 3500ms, 0.3);
    stops.gap = 300ms;
    day.troubles.push_back(stops);
    auto added = makeTrouble("host-add", 4500ms, 0);
    added.count = 15;
    day.troubles.push_back(added);
    return day;
}

} // namespace

TEST_CASE("hosts with little processor time keep serving while many hosts are killed, stopped and "
          "added",
          "[churn]")
{
    // With either message cost, fleets in which every host checks every other host served a tenth
    // of the requests or less.
    for (const Duration message : { 3500us, 7000us }) {
        const auto result = Emulation(churnPlan(message)).play();
        INFO("a message takes " << message.count() << " us");
        CHECK(result.all.share() >= minShare);
        for (const auto &[kind, tally] : result.byKind) {
            INFO(kind);
            CHECK(tally.share() >= minShare);
        }
        for (std::size_t i = 7; i < 12; ++i) {
            INFO("from second " << 2 * i);
            CHECK(result.windows.at(i).share() >= minShareAfterwards);
        }
    }
}

} // namespace flamingograde::emulator
