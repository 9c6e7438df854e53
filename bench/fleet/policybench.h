/// Comparison of the placement policies under the same load.
#pragma once

#include "progress.h"

#include "harness/loop.h"

#include <nlohmann/json.hpp>

/// Runs each policy in policies.toml through each situation there, with the same seeded load. The
/// results of the first situation are discarded.
/// @returns for each policy and situation: imbalance of upstreams and rows, goodput, share
/// answered within the deadline, latency, refusals, and requests that reached an upstream without
/// a free slot.
[[nodiscard]] auto measurePolicies(harness::Loop &loop, const Progress &progress) -> nlohmann::json;
