/// The measurements of the demo.
#pragma once

#include "harness/fleet.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

/// Collects measurements and checks them against the guarantees.
/// @remarks Not thread safe.
class DemoReport
{
public:
    /// Adds the rollout of a revision.
    /// @param seconds time until it was in force on all hosts, or until the wait was abandoned.
    /// @param complete whether it came into force on all hosts.
    auto addRollout(double seconds, bool complete) -> void;
    /// Adds the `stopped` event of a host.
    auto addStop(const nlohmann::json &stopped) -> void;
    /// Adds a draining upstream with its ledger totals at the time after which it must receive no
    /// new work.
    auto addDrainedUpstream(const std::string &upstream, const nlohmann::json &totals) -> void;
    /// Adds the callers' reports by row, each with the row's kind.
    auto recordLoads(const std::map<std::string, nlohmann::json> &loads) -> void;
    /// Adds the result of `checkLedgers` and computes the imbalance between the upstreams.
    auto recordLedgers(harness::Fleet &fleet, const nlohmann::json &check) -> void;

    /// Returns all measurements.
    [[nodiscard]] auto toJson() const -> const nlohmann::json & { return this->content; }
    /// Returns a summary table.
    [[nodiscard]] auto toText() const -> std::string;
    /// Returns whether all counters of violations are 0. They include incomplete rollouts and
    /// stops.
    [[nodiscard]] auto guaranteesHeld() const -> bool;

private:
    auto recordRow(const std::string &row, const nlohmann::json &counts) -> void;
    auto recordImbalance(double deviation, const std::string &of) -> void;

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
