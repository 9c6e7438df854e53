/// Formats the results of a day as JSON and as text.
#include "emulator/dayreport.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace flamingograde::emulator {

namespace {

using nlohmann::json;

constexpr std::size_t lineBytes = 256;

auto toJson(const Tally &tally) -> json
{
    return {
        { "asked", tally.asked },     { "in_time", tally.inTime }, { "late", tally.late },
        { "refused", tally.refused }, { "failed", tally.failed },  { "worth", tally.share() }
    };
}

template<typename Map>
auto toJsonMap(const Map &tallies) -> json
{
    auto map = json::object();
    for (const auto &[name, tally] : tallies) {
        map[name] = toJson(tally);
    }
    return map;
}

} // namespace

auto toJson(const DayResult &day) -> json
{
    auto windows = json::array();
    for (const auto &window : day.windows) {
        windows.push_back(toJson(window));
    }
    return { { "all", toJson(day.all) },
             { "kinds", toJsonMap(day.byKind) },
             { "zones", toJsonMap(day.byZone) },
             { "windows", std::move(windows) },
             { "p50_ms", day.percentile(0.5) },
             { "p99_ms", day.percentile(0.99) },
             { "broken_flows", day.brokenFlows },
             { "broken_by", day.brokenBy },
             { "double_runs", day.doubleRuns },
             { "wrong_service", day.wrongService },
             { "late_openings", day.lateOpenings },
             { "latest_opening_ms", day.latestOpening.count() / 1000 },
             { "evacuated_openings", day.evacuatedOpenings },
             { "latest_evacuated_ms", day.latestEvacuated.count() / 1000 },
             { "late_rows", day.lateRows },
             { "reverted_rows", day.revertedRows },
             { "cold_overruns", day.coldOverruns },
             { "cold_failures", day.coldFailures },
             { "cold_openings", day.coldOpenings },
             { "cold_seconds", day.coldSeconds },
             { "sheds", day.sheds },
             { "store_calls", day.storeCalls },
             { "store_refused", day.storeRefused },
             { "peer_messages", day.peerMessages },
             { "peer_bytes", day.peerBytes },
             { "peer_bytes_between_zones", day.peerBytesBetweenZones },
             { "packet_bytes_between_zones", day.packetBytesBetweenZones },
             { "imbalance", day.imbalance },
             { "serving_again_ms", day.servingAgain.count() / 1000 } };
}

auto lineHeader() -> std::string
{
    return "day                     worth   worst  in-time    late refused  failed  p50ms  p99ms "
           "broken  calls  imbalance";
}

auto toLine(const std::string &name, const DayResult &day) -> std::string
{
    double worst = 1;
    for (const auto &window : day.windows) {
        worst = std::min(worst, window.share());
    }
    std::array<char, lineBytes> line {};
    std::snprintf(line.data(), line.size(),
                  "%-22s %6.3f  %6.3f %8llu %7llu %7llu %7llu %6.1f %6.0f %6llu %6.0f %10.2f",
                  name.c_str(), day.all.share(), worst,
                  static_cast<unsigned long long>(day.all.inTime),
                  static_cast<unsigned long long>(day.all.late),
                  static_cast<unsigned long long>(day.all.refused),
                  static_cast<unsigned long long>(day.all.failed), day.percentile(0.5),
                  day.percentile(0.99), static_cast<unsigned long long>(day.brokenFlows),
                  day.storeCalls, day.imbalance);
    return line.data();
}

} // namespace flamingograde::emulator
