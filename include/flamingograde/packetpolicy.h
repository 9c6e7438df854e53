/// How new flows are placed on upstreams.
#pragma once

#include <cstdint>

namespace flamingograde {

/// The placement policies of packet flows. The first one is the default; the others are baselines
/// for comparison.
enum class PacketPolicy : std::uint8_t {
    LeastBusy,      ///< The least busy upstream of this host's subset, judged by callers' packets.
    Random,         ///< A random upstream of the own zone, each with the same probability.
    Hash,           ///< By a hash of the flow's endpoint addresses.
    LeastBusyOfAll, ///< The least busy of some upstreams drawn from the whole zone.
};

} // namespace flamingograde
