/// How hosts divide the request rate limit of a cold upstream.
#pragma once

#include <cstdint>

namespace flamingograde {

/// Division of the request rate limit of a cold upstream between hosts. `Owner` is the default; the
/// others are baselines for experiments.
enum class ColdPolicy : std::uint8_t {
    Owner,     ///< One host of the upstream's zone, by rendezvous hashing, uses all of the limit.
    Split,     ///< Each host of the upstream's zone uses an equal part of it.
    Unlimited, ///< The limit is not enforced.
};

} // namespace flamingograde
