/// Memory of the library per open feed, and what a tick costs while many are held.
#include "benchhost.h"

#include <benchmark/benchmark.h>

namespace {

using namespace flamingograde;

constexpr std::size_t heldFeeds = 300'000;

/// Opens `heldFeeds` feeds; the counter is what the allocator gave out for each.
auto holdFeeds(benchmark::State &state) -> void
{
    double bytes = 0;
    double held = 0;
    while (state.KeepRunning()) {
        BenchHost host;
        const auto before = heldBytes();
        for (std::size_t i = 0; i < heldFeeds; ++i) {
            host.openFeed();
        }
        bytes = heldBytes() - before;
        held = static_cast<double>(host.balancer().stats().feeds);
    }
    state.counters["feeds"] = held;
    state.counters["bytes_per_feed"] = bytes / held;
}

/// A tick, which comes every 50 ms, with `heldFeeds` feeds held.
auto tickWithFeeds(benchmark::State &state) -> void
{
    BenchHost host;
    for (std::size_t i = 0; i < heldFeeds; ++i) {
        host.openFeed();
    }
    while (state.KeepRunning()) {
        host.pass(config::tickPeriod);
    }
}

BENCHMARK(holdFeeds)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(tickWithFeeds)->Unit(benchmark::kMicrosecond);

} // namespace
