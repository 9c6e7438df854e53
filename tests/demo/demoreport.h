/// What the demo measured.
#pragma once

#include "harness/fleet.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

/// Collects measurements and judges which promises were kept.
/// @remarks Not thread safe.
class DemoReport
{
public:
    /// Adds how long a revision took to be in force on all hosts, and whether it ever was.
    auto addRollout(double seconds, bool complete) -> void;
    /// Adds the last word of a host that was stopped.
    auto addStop(const nlohmann::json &stopped) -> void;
    /// Adds a draining upstream with its counts when it should have got its last new work.
    auto addDrained(const std::string &upstream, const nlohmann::json &totals) -> void;
    /// Takes the callers' reports by row, each with the row's kind.
    auto takeLoads(const std::map<std::string, nlohmann::json> &loads) -> void;
    /// Takes the result of `checkLedgers` and works out the upstreams' imbalance.
    auto takeLedgers(harness::Fleet &fleet, const nlohmann::json &check) -> void;

    /// Returns all measurements.
    [[nodiscard]] auto toJson() const -> const nlohmann::json & { return this->content; }
    /// Returns a short table.
    [[nodiscard]] auto toText() const -> std::string;
    /// Returns whether all that must be 0 is, and all rollouts and stops were whole.
    [[nodiscard]] auto promisesKept() const -> bool;

private:
    auto takeRow(const std::string &row, const nlohmann::json &counts) -> void;
    auto takeImbalance(double deviation, const std::string &of) -> void;

    nlohmann::json content = { { "requests", 0 },
                               { "feeds", 0 },
                               { "uploads", 0 },
                               { "broken_flows", 0 },
                               { "lost_events", 0 },
                               { "repeated_events", 0 },
                               { "double_runs", 0 },
                               { "wrong_not_run", 0 },
                               { "missing_runs", 0 },
                               { "misdelivered", 0 },
                               { "incomplete_answers", 0 },
                               { "cut_requests", 0 },
                               { "work_after_drain", 0 },
                               { "incomplete_rollouts", 0 },
                               { "incomplete_stops", 0 },
                               { "refused", 0 },
                               { "unanswered", 0 },
                               { "imbalance", 0.0 },
                               { "imbalance_of", "" },
                               { "config_seconds_max", 0.0 },
                               { "latency_ms", { { "p50", 0.0 }, { "p99", 0.0 } } },
                               { "rows", nlohmann::json::object() } };
    std::map<std::string, nlohmann::json> drained;
};
