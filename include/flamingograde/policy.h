/// How requests are placed on upstreams.
#pragma once

#include <cstdint>

namespace flamingograde {

/// The placement policies. The first one is the default; the others are baselines for comparison.
enum class Policy : std::uint8_t {
    CellHome,         ///< One home host per service and zone admits requests to all its upstreams.
    UpstreamHome,     ///< Each upstream has a queue of its own at its cell's home host.
    LocalLeastLoaded, ///< Each host picks the upstream that runs the fewest requests of that host.
    TwoChoices,       ///< Each host picks the less loaded of two random upstreams by its own count.
    StaticHash,       ///< The upstream is chosen by a hash of the exchange.
};

} // namespace flamingograde
