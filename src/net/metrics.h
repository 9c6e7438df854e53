/// The metrics of a host in Prometheus' text form.
#pragma once

#include <flamingograde/stats.h>

#include <cstddef>
#include <string>

namespace flamingograde::net {

struct PeerTraffic;

/// Returns all counters and gauges of this process.
/// @remarks Not thread safe.
[[nodiscard]] auto metricsText(const Stats &stats, const PeerTraffic &traffic) -> std::string;

} // namespace flamingograde::net
