/// What a test starts: zones, hosts, services.
#pragma once

#include "harness/tabledraft.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <string>
#include <vector>

namespace harness {

/// An entry host to start.
struct HostPlan
{
    std::string name;
    std::string zone;
};

/// An upstream to start.
struct UpstreamPlan
{
    std::string name;
    std::string zone;
    nlohmann::json options;        ///< Of the upstream stand-in, but for name and listen address.
    nlohmann::ordered_json record; ///< Of the table, but for name, zone and address.
};

/// A deployment as the table `[deployment]` of a scenario describes it.
struct Deployment
{
    std::vector<std::string> zones;
    std::vector<HostPlan> hosts;
    std::vector<UpstreamPlan> upstreams;
    std::vector<TableDraft::Record> rows;               ///< But for the address.
    nlohmann::json settings = nlohmann::json::object(); ///< Sections added to each host's settings.

    /// Makes a deployment from `plan`. Throws for a missing field.
    [[nodiscard]] static auto fromJson(const nlohmann::json &plan) -> Deployment;

    /// Returns the plan of one more upstream of `service` in `zone`, like the others of the
    /// service. Precondition: the service has an upstream.
    [[nodiscard]] auto anotherUpstream(const std::string &name, const std::string &service,
                                       const std::string &zone) const -> UpstreamPlan;
};

} // namespace harness
