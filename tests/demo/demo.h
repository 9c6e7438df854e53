/// Demonstrates a deployment under load during planned changes.
#pragma once

#include "demoreport.h"

#include "harness/fleet.h"
#include "harness/loop.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <filesystem>
#include <string>
#include <vector>

/// Starts the deployment that a settings file names, puts it under load, makes the planned changes
/// and evaluates the outcome.
/// @remarks Not thread safe. Throws `std::runtime_error` if a process does not start, answer or
/// stop within its time limit.
class Demo
{
public:
    Demo(harness::Loop &loop, const std::filesystem::path &file);

    /// Runs the demo, prints a table and writes `demo-report.json` to the folder of the program.
    /// @returns whether all guarantees held.
    auto run() -> bool;

private:
    auto startLoads() -> void;
    auto makeChange(const nlohmann::json &change) -> void;
    /// Waits until the last revision is in force on all hosts or a time limit passes, and adds the
    /// time to the report.
    auto waitForRevision() -> void;
    auto replaceHost(const std::string &host, const std::string &replacement) -> void;
    /// Drains an upstream and records its ledger totals at the end of the time within which hosts
    /// stop sending it work.
    auto drainUpstream(const std::string &name) -> void;
    auto finishLoads() -> void;
    auto printProgress() -> void;
    auto runUntil(double share) -> void;
    [[nodiscard]] auto elapsed() const -> double;
    auto fetchReport(const std::string &load) -> nlohmann::json;

    harness::Loop &loop;
    nlohmann::json settings;
    harness::Fleet fleet;
    std::vector<std::string> loads;
    std::chrono::steady_clock::time_point begin;
    DemoReport report;
};
