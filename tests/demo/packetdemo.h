/// Demonstrates the packet path under load during planned changes and faults.
#pragma once

#include "harness/loop.h"
#include "harness/packetfleet.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

/// Starts hosts in two zones with a store, a fabric, callers and upstreams, puts them under load,
/// makes planned changes and injects faults: a store that does not answer and a killed host.
/// @remarks Not thread safe. Throws `std::runtime_error` if a process does not start, answer or
/// stop within its time limit.
class PacketDemo
{
public:
    explicit PacketDemo(harness::Loop &eventLoop);

    /// Runs the demo, prints a table and writes `packet-demo-report.json` to the folder of the
    /// program.
    /// @returns whether all guarantees held.
    auto run() -> bool;

private:
    /// Publishes the rows under a new version and measures the time until all hosts have them.
    auto editRows() -> void;
    auto replaceUpstream() -> void;
    auto stopHostsInTurn() -> void;
    auto killHost() -> void;
    auto silenceStore() -> void;
    /// Returns the largest relative deviation from an equal share of the requests, among the
    /// upstreams of the service `live` that were active throughout.
    [[nodiscard]] auto imbalance() const -> double;
    [[nodiscard]] auto guaranteesHeld() const -> bool;
    auto print() const -> void;

    harness::Loop &loop;
    harness::PacketFleet fleet;
    nlohmann::json report;
    double longestEditSeconds = 0; ///< Longest time until an edit was in force on all hosts.
    bool allEditsInForce = true;
};
