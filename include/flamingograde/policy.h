/// How requests are placed on upstreams.
#pragma once

#include <cstdint>

namespace flamingograde {

/// The placement policies. The first is the product's; the others are baselines to measure it
/// against.
enum class Policy : std::uint8_t {
    CellHome,         ///< One home host per service and zone admits to all its upstreams.
    UpstreamHome,     ///< A queue of its own for each upstream, at its cell's home.
    LocalLeastLoaded, ///< Each host picks the upstream with its own fewest requests.
    TwoChoices,       ///< Each host picks the better of two by its own count.
    StaticHash,       ///< The upstream is a hash of the exchange.
};

} // namespace flamingograde
