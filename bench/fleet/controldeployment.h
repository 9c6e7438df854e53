/// Deployment for benchmarks with a variable number of hosts.
#pragma once

#include "harness/deployment.h"

#include <cstddef>

/// Returns the deployment of control.toml with `hosts` hosts, spread evenly over its zones.
[[nodiscard]] auto controlDeployment(std::size_t hosts) -> harness::Deployment;
