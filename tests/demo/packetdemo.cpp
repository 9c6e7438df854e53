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
constexpr double requestsPerSecond = 60; ///< In each zone; its two upstreams of two slots do 400.
constexpr Millis between { 1500 };       ///< Between two changes.
constexpr Millis editLimit { 4000 };     ///< An edit is to be in force everywhere within this.
constexpr std::int64_t openingLimitMs = 3000; ///< A leaving upstream gets no new flow after this.

/// Each of these is 0 when every promise was kept.
constexpr std::array<const char *, 5> promises { "broken_flows", "double_runs", "wrong_service",
                                                 "strays", "not_intact" };

auto tell(const std::string &change) -> void
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
    tell("starting " + std::to_string(zones * hostsPerZone) + " hosts and "
         + std::to_string(zones * upstreamsPerZone) + " upstreams of a feed");
    this->fleet.start(zones, hostsPerZone, upstreamsPerZone);
    this->fleet.beginLoad(requestsPerSecond);
    this->loop.runFor(between);
    this->editRows();
    this->replaceUpstream();
    this->stopHostsInTurn();
    this->silenceStore();
    this->killHost();
    this->editRows();
    this->loop.runFor(between);
    this->report = this->fleet.endLoad();
    this->report["imbalance"] = this->imbalance();
    this->report["edit_seconds_max"] = this->editSeconds;
    const auto file = harness::programPath("packet-demo-report.json");
    std::ofstream(file) << this->report.dump(2) << "\n";
    this->print();
    std::cout << "report: " << file.string() << std::endl;
    return this->promisesKept();
}

auto PacketDemo::editRows() -> void
{
    const auto begin = std::chrono::steady_clock::now();
    const auto inForce = this->fleet.waitRevision(this->fleet.publishRows(), editLimit);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    this->editsInForce = this->editsInForce && inForce;
    this->editSeconds = std::max(this->editSeconds, took.count());
    tell("rows edited, in force on all hosts: " + std::string(inForce ? "yes" : "NO"));
    this->loop.runFor(between);
}

auto PacketDemo::replaceUpstream() -> void
{
    tell("upstream live-1-1 drains, live-1-new takes its place");
    this->fleet.addUpstream("live-1-new", "live", 1);
    this->fleet.drainUpstream("live-1-1");
    this->loop.runFor(between);
    this->fleet.unregisterUpstream("live-1-1");
}

auto PacketDemo::stopHostsInTurn() -> void
{
    for (const auto &host : this->fleet.hostNames()) {
        tell("host " + host + " stops and starts again");
        this->fleet.stopHost(host, true);
    }
}

auto PacketDemo::silenceStore() -> void
{
    tell("the store falls silent for " + std::to_string(2 * between.count()) + " ms");
    this->fleet.store().call({ { "cmd", "mode" }, { "mode", "silent" } });
    this->loop.runFor(2 * between);
    this->fleet.store().call({ { "cmd", "mode" }, { "mode", "up" } });
}

auto PacketDemo::killHost() -> void
{
    tell("host host-2-1 is killed and starts again");
    this->fleet.killHost("host-2-1", true);
    this->loop.runFor(between);
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

auto PacketDemo::promisesKept() const -> bool
{
    const auto isNone = [this](const char *field) { return this->report.at(field) == 0; };
    return this->editsInForce && this->report.at("latest_opening_ms") < openingLimitMs
           && std::all_of(promises.begin(), promises.end(), isNone);
}

auto PacketDemo::print() const -> void
{
    for (const auto *field : { "asked", "in_time", "late", "refused", "failed", "p50_ms", "p99_ms",
                               "imbalance", "edit_seconds_max", "latest_opening_ms" }) {
        printRow(field, this->report.at(field));
    }
    for (const auto *field : promises) {
        const auto &count = this->report.at(field);
        printRow(field, count, count == 0 ? "kept" : "BROKEN");
    }
}
