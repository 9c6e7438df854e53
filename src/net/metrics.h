/// The metrics of a host in Prometheus' text form.
#pragma once

#include <flamingograde/stats.h>

#include <cstddef>
#include <string>

namespace flamingograde::net {

struct PacketTraffic;
struct PeerTraffic;

/// Returns all counters and gauges of this process.
/// @param packets null where no packets are carried.
/// @remarks Not thread safe.
[[nodiscard]] auto metricsText(const Stats &stats, const PeerTraffic &traffic,
                               const PacketTraffic *packets) -> std::string;

} // namespace flamingograde::net
