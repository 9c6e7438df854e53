/// Runs the steps of a scenario.
#pragma once

#include "scenariofile.h"

#include "harness/fleet.h"
#include "harness/loop.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

/// Owns the fleet of one scenario and runs its steps in order.
/// @remarks Not thread safe.
class StepRunner
{
public:
    StepRunner(harness::Loop &loop, const ScenarioFile &scenario);

    /// Runs the steps until one fails. @returns the failure with its step; empty on success.
    [[nodiscard]] auto run() -> std::string;

    /// Returns diagnostics for a failure: the measurements, the reports of all loads and the last
    /// lines of each host's log.
    [[nodiscard]] auto report() -> std::string;

private:
    using Step = nlohmann::json;
    using Handler = auto(StepRunner::*)(const Step &) -> void;

    static auto handlers() -> const std::map<std::string, Handler> &;

    auto runStep(const Step &step) -> void;
    /// Replaces a string "$NAME" by the value of the variable NAME. Inside a longer string,
    /// replaces the first occurrence of each variable.
    [[nodiscard]] auto substitute(const nlohmann::json &value) const -> nlohmann::json;

    auto doStart(const Step &step) -> void;
    auto doStop(const Step &step) -> void;
    auto doKill(const Step &step) -> void;
    auto doFreeze(const Step &step) -> void;
    auto doThaw(const Step &step) -> void;
    auto doFault(const Step &step) -> void;
    auto doHeal(const Step &step) -> void;
    auto doPlatform(const Step &step) -> void;
    auto doPublish(const Step &step) -> void;
    auto doHosts(const Step &step) -> void;
    auto doFabric(const Step &step) -> void;
    auto doLoad(const Step &step) -> void;
    auto doFinish(const Step &step) -> void;
    auto doRequest(const Step &step) -> void;
    auto doUpstream(const Step &step) -> void;
    auto doFindHome(const Step &step) -> void;
    auto doKey(const Step &step) -> void;
    auto doNote(const Step &step) -> void;
    auto doSleepUntil(const Step &step) -> void;
    auto doExpect(const Step &step) -> void;
    auto doWait(const Step &step) -> void;

    /// Returns the process that the field `host` or `upstream` of a step names.
    auto processOf(const Step &step) -> harness::Process &;
    /// Returns the values that a step checks: a single one, or one for each host.
    auto observe(const Step &step) -> std::vector<nlohmann::json>;
    auto observeHosts(const Step &step) -> std::vector<nlohmann::json>;
    /// Returns a message for each condition of the step that does not hold at present.
    auto failures(const Step &step) -> std::vector<std::string>;

    harness::Loop &loop;
    nlohmann::json steps;
    harness::Fleet fleet;
    std::map<std::string, nlohmann::json> variables;
    std::map<std::string, nlohmann::json> requests; ///< Answers, by the field `as` of the step.
    std::map<std::string, std::uint64_t> pendingRequests;
    std::vector<std::string> loads;
    std::map<std::string, std::vector<nlohmann::json>> faults;
    std::string measurements; ///< Duration of each wait, and noted values.
};
