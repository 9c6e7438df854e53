/// Packets under load and change.
#pragma once

#include "harness/loop.h"
#include "harness/packetfleet.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

/// Starts hosts of two zones with a store, a fabric, callers and upstreams, loads them, and makes
/// planned changes and one fault.
/// @remarks Not thread safe. Throws `std::runtime_error` where a process does not do its part.
class PacketDemo
{
public:
    explicit PacketDemo(harness::Loop &eventLoop);

    /// Runs it, prints a table and writes `packet-demo-report.json` beside the program.
    /// @returns whether every promise was kept.
    auto run() -> bool;

private:
    /// Publishes rows and notes how long it takes until all hosts have them.
    auto editRows() -> void;
    auto replaceUpstream() -> void;
    auto stopHostsInTurn() -> void;
    auto killHost() -> void;
    auto silenceStore() -> void;
    /// Returns the largest deviation of a feed's upstream from an equal share of the requests, of
    /// those that were there all the time.
    [[nodiscard]] auto imbalance() const -> double;
    [[nodiscard]] auto promisesKept() const -> bool;
    auto print() const -> void;

    harness::Loop &loop;
    harness::PacketFleet fleet;
    nlohmann::json report;
    double editSeconds = 0; ///< The longest until an edit was in force on all hosts.
    bool editsInForce = true;
};
