/// How hosts divide the request rate of a cold upstream.
#pragma once

#include <cstdint>

namespace flamingograde {

/// `Owner` is the default; the others are baselines for experiments.
enum class ColdPolicy : std::uint8_t {
    Owner,     ///< One host of the upstream's zone, by rendezvous hashing, uses all of it.
    Split,     ///< Each host of the upstream's zone uses an equal part.
    Unlimited, ///< The limit is not enforced.
};

} // namespace flamingograde
