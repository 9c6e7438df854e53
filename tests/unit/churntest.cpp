/// Many hosts that end, stop, start and are added while callers are served.
#include "emulator/emulation.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>

namespace flamingograde::emulator {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t zones = 4;
constexpr std::size_t hostsPerZone = 22;
/// Of what callers are owed: half a minute of planned work and single deaths may cost a tenth.
constexpr double servedBound = 0.9;
/// The same in each two seconds from two seconds after the last of it on.
constexpr double servedAfter = 0.97;

auto rowOf(const std::string &name, bool longFlows, std::uint16_t port) -> RowPlan
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

auto troubleOf(const std::string &kind, Duration at, double share) -> TroublePlan
{
    TroublePlan trouble;
    trouble.kind = kind;
    trouble.at = at;
    trouble.share = share;
    return trouble;
}

/// Returns a day on which hosts end, stop in turn and are added, all within ten seconds.
/// @param message what a host's processor takes for a message of another host.
auto churnDay(Duration message) -> DayPlan
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
    day.rows = { rowOf("feed", true, 8443), rowOf("resolutions", false, 8080) };
    for (const auto at : { 1500ms, 4500ms, 7500ms }) {
        day.troubles.push_back(troubleOf("host-kill", at, 0.08));
    }
    day.troubles.push_back(troubleOf("host-kill", 6500ms, 0.19));
    auto stops = troubleOf("host-stop", 3500ms, 0.3);
    stops.gap = 300ms;
    day.troubles.push_back(stops);
    auto added = troubleOf("host-add", 4500ms, 0);
    added.count = 15;
    day.troubles.push_back(added);
    return day;
}

} // namespace

TEST_CASE("hosts with little processor serve on while many hosts end, stop and are added",
          "[churn]")
{
    // With either, fleets whose hosts judge each other all to all served a tenth or less.
    for (const Duration message : { 3500us, 7000us }) {
        const auto result = Emulation(churnDay(message)).play();
        INFO("a message takes " << message.count() << " us");
        CHECK(result.all.share() >= servedBound);
        for (const auto &[kind, tally] : result.byKind) {
            INFO(kind);
            CHECK(tally.share() >= servedBound);
        }
        for (std::size_t i = 7; i < 12; ++i) {
            INFO("from second " << 2 * i);
            CHECK(result.windows.at(i).share() >= servedAfter);
        }
    }
}

} // namespace flamingograde::emulator
