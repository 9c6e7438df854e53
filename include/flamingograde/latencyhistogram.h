/// How long something took, counted by bounds.
#pragma once

#include <flamingograde/clock.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace flamingograde {

/// A histogram with fixed bounds.
/// @remarks Not thread safe.
struct LatencyHistogram
{
    /// Upper bounds of the buckets in milliseconds; a last bucket has none.
    static constexpr std::array<std::uint32_t, 11> bounds { 1,   2,   5,   10,   20,  50,
                                                            100, 200, 500, 1000, 2000 };

    std::array<std::uint64_t, bounds.size() + 1> counts {};
    std::uint64_t sumMs = 0;

    /// Counts one measure. Precondition: none.
    auto add(std::uint32_t milliseconds) -> void
    {
        std::size_t bucket = 0;
        while (bucket < bounds.size() && milliseconds > bounds[bucket]) {
            ++bucket;
        }
        ++this->counts[bucket];
        this->sumMs += milliseconds;
    }
};

} // namespace flamingograde
