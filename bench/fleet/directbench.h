/// What the way through a host costs beside the straight way to the upstream.
#pragma once

#include "progress.h"

#include "harness/loop.h"

#include <nlohmann/json.hpp>

/// Sends the same loads through one host and straight to an upstream.
/// @returns latency and largest sustained rate of both ways with their ratios, new flows a second
/// through the host, and its CPU time a request.
[[nodiscard]] auto measureDirect(harness::Loop &loop, const Progress &progress) -> nlohmann::json;
