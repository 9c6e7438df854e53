/// Runs the steps of a scenario.
#pragma once

#include "scenariofile.h"

#include "harness/fleet.h"
#include "harness/loop.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

/// Owns the fleet of one scenario and takes its steps in order.
/// @remarks Not thread safe.
class StepRunner
{
public:
    StepRunner(harness::Loop &loop, const ScenarioFile &scenario);

    /// Takes all steps. @returns the first failure with its step; empty for success.
    [[nodiscard]] auto run() -> std::string;

    /// Returns the state for a reader who looks for a failure's cause: what was measured, the
    /// reports of all loads and the last lines of each host's log.
    [[nodiscard]] auto report() -> std::string;

private:
    using Step = nlohmann::json;
    using Handler = auto(StepRunner::*)(const Step &) -> void;

    static auto handlers() -> const std::map<std::string, Handler> &;

    auto takeStep(const Step &step) -> void;
    /// Replaces each text "$NAME" by the variable's value, and "$NAME" inside texts.
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

    /// Returns the process that a step names with `host` or `upstream`.
    auto processOf(const Step &step) -> harness::Process &;
    /// Returns the values that a step looks at: one, or one for each host.
    auto observe(const Step &step) -> std::vector<nlohmann::json>;
    auto observeHosts(const Step &step) -> std::vector<nlohmann::json>;
    /// Returns all conditions of the step that do not hold now.
    auto failures(const Step &step) -> std::vector<std::string>;

    harness::Loop &loop;
    nlohmann::json steps;
    harness::Fleet fleet;
    std::map<std::string, nlohmann::json> variables;
    std::map<std::string, nlohmann::json> requests; ///< Answers by the step's name.
    std::map<std::string, std::uint64_t> pendingRequests;
    std::vector<std::string> loads;
    std::map<std::string, std::vector<nlohmann::json>> faults;
    std::string measured; ///< How long each wait took.
};
