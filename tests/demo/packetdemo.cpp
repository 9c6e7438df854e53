#include "packetdemo.h"

#include "harness/process.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <vector>

using harness::Millis;

namespace {

constexpr std::size_t zones = 2;
constexpr std::size_t hostsPerZone = 2;
constexpr std::size_t upstreamsPerZone = 2;
constexpr double requestsPerSecond = 60;  ///< Per zone. Its 2 upstreams of 2 slots can serve 400.
constexpr Millis changeInterval { 1500 }; ///< Time between two changes.
constexpr Millis editLimit { 4000 };      ///< An edit must be in force everywhere within this.
/// Time after the start of a drain from which the upstream must get no new flow.
constexpr std::int64_t openingLimitMs = 3000;

/// Counters of violations. Each is 0 if all guarantees held.
constexpr std::array<const char *, 5> violationCounters { "broken_flows", "double_runs",
                                                          "wrong_service", "strays", "not_intact" };

auto printStep(const std::string &change) -> void
{
    std::cout << "  " << change << std::endl;
}

auto printRow(const std::string &name, const nlohmann::json &value, const std::string &verdict = "")
        -> void
{
    std::cout << std::left << std::setw(22) << name << std::setw(10) << value.dump() << verdict
              << "\n";
}

} // namespace

PacketDemo::PacketDemo(harness::Loop &eventLoop) : loop(eventLoop), fleet(eventLoop) {}

auto PacketDemo::run() -> bool
{
    printStep("starting " + std::to_string(zones * hostsPerZone) + " hosts and "
              + std::to_string(zones * upstreamsPerZone) + " upstreams of the service live");
    this->fleet.start(zones, hostsPerZone, upstreamsPerZone);
    this->fleet.beginLoad(requestsPerSecond);
    this->loop.runFor(changeInterval);
    this->editRows();
    this->replaceUpstream();
    this->stopHostsInTurn();
    this->silenceStore();
    this->killHost();
    this->editRows();
    this->loop.runFor(changeInterval);
    this->report = this->fleet.endLoad();
    this->report["imbalance"] = this->imbalance();
    this->report["edit_seconds_max"] = this->longestEditSeconds;
    const auto file = harness::programPath("packet-demo-report.json");
    std::ofstream(file) << this->report.dump(2) << "\n";
    this->print();
    std::cout << "report: " << file.string() << std::endl;
    return this->guaranteesHeld();
}

auto PacketDemo::editRows() -> void
{
    const auto begin = std::chrono::steady_clock::now();
    const auto inForce = this->fleet.waitRevision(this->fleet.publishRows(), editLimit);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    this->allEditsInForce = this->allEditsInForce && inForce;
    this->longestEditSeconds = std::max(this->longestEditSeconds, took.count());
    printStep("rows edited; in force on all hosts in time: " + std::string(inForce ? "yes" : "NO"));
    this->loop.runFor(changeInterval);
}

auto PacketDemo::replaceUpstream() -> void
{
    printStep("upstream live-1-1 is draining and live-1-new replaces it");
    this->fleet.addUpstream("live-1-new", "live", 1);
    this->fleet.drainUpstream("live-1-1");
    this->loop.runFor(changeInterval);
    this->fleet.unregisterUpstream("live-1-1");
}

auto PacketDemo::stopHostsInTurn() -> void
{
    for (const auto &host : this->fleet.hostNames()) {
        printStep("host " + host + " is stopped and restarted");
        this->fleet.stopHost(host, true);
    }
}

auto PacketDemo::silenceStore() -> void
{
    printStep("the store does not answer for " + std::to_string(2 * changeInterval.count())
              + " ms");
    this->fleet.store().call({ { "cmd", "mode" }, { "mode", "silent" } });
    this->loop.runFor(2 * changeInterval);
    this->fleet.store().call({ { "cmd", "mode" }, { "mode", "up" } });
}

auto PacketDemo::killHost() -> void
{
    printStep("host host-2-1 is killed and restarted");
    this->fleet.killHost("host-2-1", true);
    this->loop.runFor(changeInterval);
}

auto PacketDemo::imbalance() const -> double
{
    std::vector<double> runs;
    for (const auto *name : { "live-1-2", "live-2-1", "live-2-2" }) {
        runs.push_back(this->report.at("runs").at(name).get<double>());
    }
    double sum = 0;
    for (const auto count : runs) {
        sum += count;
    }
    const auto mean = sum / static_cast<double>(runs.size());
    double largest = 0;
    for (const auto count : runs) {
        largest = std::max(largest, mean > 0 ? std::abs(count / mean - 1) : 1.0);
    }
    constexpr auto digits = 1000;
    return std::round(largest * digits) / digits;
}

auto PacketDemo::guaranteesHeld() const -> bool
{
    const auto isZero = [this](const char *field) { return this->report.at(field) == 0; };
    return this->allEditsInForce && this->report.at("latest_opening_ms") < openingLimitMs
           && std::all_of(violationCounters.begin(), violationCounters.end(), isZero);
}

auto PacketDemo::print() const -> void
{
    for (const auto *field : { "asked", "in_time", "late", "refused", "failed", "p50_ms", "p99_ms",
                               "imbalance", "edit_seconds_max", "latest_opening_ms" }) {
        printRow(field, this->report.at(field));
    }
    for (const auto *field : violationCounters) {
        const auto &count = this->report.at(field);
        printRow(field, count, count == 0 ? "kept" : "BROKEN");
    }
}
