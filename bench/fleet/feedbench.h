/// How evenly feeds are spread over upstreams.
#pragma once

#include "progress.h"

#include "harness/loop.h"

#include <nlohmann/json.hpp>

/// Opens feeds at all hosts of a fleet of the Association's size.
/// @returns the largest relative deviation of an upstream's feeds, and what drawing each feed's
/// upstream at random would be expected to give.
[[nodiscard]] auto measureFeeds(harness::Loop &loop, const Progress &progress) -> nlohmann::json;
