/// Exports the metrics of a host in the Prometheus text format.
#pragma once

#include <flamingograde/stats.h>

#include <cstddef>
#include <string>

namespace flamingograde::net {

struct PacketTraffic;
struct PeerTraffic;

/// Returns all counters and gauges of this process.
/// @param packets null if the host does not forward packets.
/// @remarks Not thread safe.
[[nodiscard]] auto metricsText(const Stats &stats, const PeerTraffic &traffic,
                               const PacketTraffic *packets) -> std::string;

} // namespace flamingograde::net
