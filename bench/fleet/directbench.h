/// Overhead of the path through a host against a direct connection to the upstream.
#pragma once

#include "progress.h"

#include "harness/loop.h"

#include <nlohmann/json.hpp>

/// Sends the same loads through one host and directly to an upstream.
/// @returns latency and highest sustained rate of both paths with their ratios, new flows and new
/// feeds per second through the host, and the host's CPU time per request.
[[nodiscard]] auto measureDirect(harness::Loop &loop, const Progress &progress) -> nlohmann::json;
