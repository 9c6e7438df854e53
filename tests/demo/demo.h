/// A deployment under load and change.
#pragma once

#include "demoreport.h"

#include "harness/fleet.h"
#include "harness/loop.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <filesystem>
#include <string>
#include <vector>

/// Starts the deployment of a settings file, loads it, changes it and judges the outcome.
/// @remarks Not thread safe. Throws `std::runtime_error` where a process does not do its part.
class Demo
{
public:
    Demo(harness::Loop &loop, const std::filesystem::path &file);

    /// Runs it, prints a table and writes `demo-report.json` beside the program.
    /// @returns whether every promise was kept.
    auto run() -> bool;

private:
    auto startLoads() -> void;
    auto makeChange(const nlohmann::json &change) -> void;
    /// Waits until the last revision is in force on all hosts and keeps the longest wait.
    auto waitForRevision() -> void;
    auto replaceHost(const std::string &host, const std::string &by) -> void;
    /// Drains an upstream and notes what it had run when the time for it was over.
    auto drainUpstream(const std::string &name) -> void;
    auto finishLoads() -> void;
    auto showProgress() -> void;
    auto runUntil(double share) -> void;
    [[nodiscard]] auto elapsed() const -> double;
    auto reportOf(const std::string &load) -> nlohmann::json;

    harness::Loop &loop;
    nlohmann::json settings;
    harness::Fleet fleet;
    std::vector<std::string> loads;
    std::chrono::steady_clock::time_point begin;
    DemoReport report;
};
