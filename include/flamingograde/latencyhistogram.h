/// Histogram of latencies.
#pragma once

#include <flamingograde/clock.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace flamingograde {

/// A latency histogram with fixed bucket bounds.
/// @remarks Not thread safe.
struct LatencyHistogram
{
    /// Upper bounds of the buckets in milliseconds, inclusive; the last bucket has no bound.
    static constexpr std::array<std::uint32_t, 11> bounds { 1,   2,   5,   10,   20,  50,
                                                            100, 200, 500, 1000, 2000 };

    std::array<std::uint64_t, bounds.size() + 1> counts {};
    std::uint64_t sumMs = 0;

    /// Adds one measurement. Precondition: none.
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
