/// Reads the deployment from control.toml and adds hosts to it.
#include "controldeployment.h"

#include "harness/tomlfile.h"

#include <string>

auto controlDeployment(std::size_t hosts) -> harness::Deployment
{
    auto deployment = harness::Deployment::fromJson(
            harness::readToml(std::string(FLAMINGOGRADE_BENCH) + "/control.toml"));
    for (std::size_t i = 0; i < hosts; ++i) {
        const auto &zone = deployment.zones[i % deployment.zones.size()];
        deployment.hosts.push_back({ zone + "-" + std::to_string(i), zone });
    }
    return deployment;
}
