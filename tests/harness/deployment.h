/// Describes the zones, hosts, upstreams and table rows that a test starts.
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
    nlohmann::json options;        ///< Options of the stand-in, without name and listen address.
    nlohmann::ordered_json record; ///< Table record, without name, zone and address.
};

/// A deployment, as given by the table `[deployment]` of a scenario.
struct Deployment
{
    std::vector<std::string> zones;
    std::vector<HostPlan> hosts;
    std::vector<UpstreamPlan> upstreams;
    std::vector<TableDraft::Record> rows;               ///< Table records, without the address.
    nlohmann::json settings = nlohmann::json::object(); ///< Sections added to each host's settings.

    /// Parses `plan`. Throws if a field is missing.
    [[nodiscard]] static auto fromJson(const nlohmann::json &plan) -> Deployment;

    /// Returns the plan of an additional upstream of `service` in `zone`, with the options and the
    /// record of the service's first upstream. Throws `std::runtime_error` if it has none.
    [[nodiscard]] auto additionalUpstream(const std::string &name, const std::string &service,
                                          const std::string &zone) const -> UpstreamPlan;
};

} // namespace harness
