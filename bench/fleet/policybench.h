/// The placement policies under one load.
#pragma once

#include "progress.h"

#include "harness/loop.h"

#include <nlohmann/json.hpp>

/// Runs each policy of policies.toml through each of its situations with the same seeded load.
/// @returns for each policy and situation: imbalance of upstreams and rows, goodput, share
/// answered within the deadline, latency, refusals, and requests over an upstream's slots.
[[nodiscard]] auto measurePolicies(harness::Loop &loop, const Progress &progress) -> nlohmann::json;
