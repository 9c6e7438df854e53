#include "harness/deployment.h"

#include <algorithm>
#include <stdexcept>

namespace harness {

namespace {

constexpr int defaultSlots = 2;
constexpr int defaultConnections = 2000;

auto makeUpstreamPlan(const nlohmann::json &service, const std::string &zone, int number)
        -> UpstreamPlan
{
    UpstreamPlan plan;
    const auto name = service.at("name").get<std::string>();
    plan.name = name + "-" + zone + "-" + std::to_string(number);
    plan.zone = zone;
    plan.record = { { "service", name },
                    { "slots", service.value("slots", defaultSlots) },
                    { "connections", service.value("connections", defaultConnections) } };
    plan.options = service.value("standin", nlohmann::json::object());
    plan.options["service"] = name;
    plan.options["slots"] = plan.record["slots"];
    plan.options["connections"] = plan.record["connections"];
    plan.options["seed"] = number;
    return plan;
}

} // namespace

auto Deployment::fromJson(const nlohmann::json &plan) -> Deployment
{
    Deployment deployment;
    deployment.zones = plan.at("zones").get<std::vector<std::string>>();
    deployment.settings = plan.value("settings", nlohmann::json::object());
    const auto hosts = plan.at("hosts").get<std::vector<int>>();
    for (std::size_t i = 0; i < deployment.zones.size(); ++i) {
        const std::string &zone = deployment.zones[i];
        for (int n = 0; n < hosts.at(i); ++n) {
            deployment.hosts.push_back({ zone + "-" + static_cast<char>('a' + n), zone });
        }
        for (const auto &service : plan.at("service")) {
            const int count = service.at("upstreams").at(i).get<int>();
            for (int n = 1; n <= count; ++n) {
                deployment.upstreams.push_back(makeUpstreamPlan(service, zone, n));
            }
        }
    }
    for (const auto &row : plan.at("row")) {
        deployment.rows.emplace_back(row);
    }
    return deployment;
}

auto Deployment::additionalUpstream(const std::string &name, const std::string &service,
                                    const std::string &zone) const -> UpstreamPlan
{
    const auto existing = std::find_if(
            this->upstreams.begin(), this->upstreams.end(),
            [&](const UpstreamPlan &plan) { return plan.record.at("service") == service; });
    if (existing == this->upstreams.end()) {
        throw std::runtime_error("the deployment has no upstream of service " + service);
    }
    UpstreamPlan plan = *existing;
    plan.name = name;
    plan.zone = zone;
    return plan;
}

} // namespace harness
