/// Distribution of feeds over upstreams, and cost per feed.
#pragma once

#include "progress.h"

#include "harness/loop.h"

#include <nlohmann/json.hpp>

/// Opens feeds at all hosts of a fleet of eight hosts, the size of the reference deployment.
/// @returns the largest relative deviation of an upstream's feed count from the mean, the deviation
/// expected if each feed's upstream were drawn at random, and memory and CPU share per feed.
[[nodiscard]] auto measureFeeds(harness::Loop &loop, const Progress &progress) -> nlohmann::json;
