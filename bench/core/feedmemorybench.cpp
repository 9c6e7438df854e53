/// Memory of the library per open feed, and time of a tick with many open feeds.
#include "benchhost.h"

#include <benchmark/benchmark.h>

namespace {

using namespace flamingograde;

constexpr std::size_t openFeedCount = 300'000;

/// Opens `openFeedCount` feeds; `bytes_per_feed` is the allocated memory per open feed.
auto holdFeeds(benchmark::State &state) -> void
{
    double bytes = 0;
    double held = 0;
    while (state.KeepRunning()) {
        BenchHost host;
        const auto before = allocatedBytes();
        for (std::size_t i = 0; i < openFeedCount; ++i) {
            host.openFeed();
        }
        bytes = allocatedBytes() - before;
        held = static_cast<double>(host.balancer().stats().feeds);
    }
    state.counters["feeds"] = held;
    state.counters["bytes_per_feed"] = bytes / held;
}

/// Tick, due every 50 ms, with `openFeedCount` open feeds.
auto tickWithFeeds(benchmark::State &state) -> void
{
    BenchHost host;
    for (std::size_t i = 0; i < openFeedCount; ++i) {
        host.openFeed();
    }
    while (state.KeepRunning()) {
        host.runFor(config::tickPeriod);
    }
}

BENCHMARK(holdFeeds)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(tickWithFeeds)->Unit(benchmark::kMicrosecond);

} // namespace
