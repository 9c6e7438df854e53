/// What a host costs in a fleet at the design size: memory, control traffic and time of
/// ticks by the number of hosts, and time of new feeds and ticks by the size of fleet and table.
#include "bigfleet.h"

#include "unit/tabletext.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <memory>

namespace {

using namespace flamingograde;
using namespace std::chrono_literals;

constexpr Duration span = 10s;
constexpr double spanSeconds = 10;
constexpr std::size_t designHosts = 11'000;

/// Changes a second at the design rate: 11,000 restarts, each told as leaving, dead and alive,
/// and 210 failures, each told as suspect, dead and alive.
constexpr double designChanges = (11'000 + 210) * 3 / 86'400.0;

/// One host among `range(0)`, idle (`range(1)` 0) or under its changes (1).
auto hostInFleet(benchmark::State &state) -> void
{
    const auto before = heldBytes();
    BigFleet fleet(static_cast<std::size_t>(state.range(0)), benchTable());
    const auto held = heldBytes() - before;
    const auto changes = state.range(1) == 0 ? 0.0 : designChanges;
    double spans = 0;
    while (state.KeepRunning()) {
        const auto begin = std::chrono::steady_clock::now();
        fleet.pass(span, changes);
        const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - begin;
        state.SetIterationTime(passed.count());
        ++spans;
    }
    const auto seconds = spans * spanSeconds;
    state.counters["held_bytes"] = held;
    state.counters["bytes_sent_per_second"] = static_cast<double>(fleet.sent().bytes) / seconds;
    state.counters["messages_sent_per_second"] =
            static_cast<double>(fleet.sent().messages) / seconds;
    state.counters["members"] = static_cast<double>(fleet.host().balancer().stats().membersAlive);
}

/// Bytes sent in the first seconds of a host that joins a fleet of `range(0)`.
auto joinFleet(benchmark::State &state) -> void
{
    SentTraffic sent;
    while (state.KeepRunning()) {
        const BigFleet fleet(static_cast<std::size_t>(state.range(0)), benchTable());
        sent = fleet.joining();
    }
    state.counters["bytes_sent"] = static_cast<double>(sent.bytes);
    state.counters["dials"] = static_cast<double>(sent.dials);
}

/// Reads of the platform by one host of 11,000 while each read fails.
auto platformSilent(benchmark::State &state) -> void
{
    BigFleet fleet(designHosts, benchTable());
    fleet.losePlatform();
    fleet.pass(span, 0);
    const auto before = fleet.sent().platformReads;
    double spans = 0;
    while (state.KeepRunning()) {
        fleet.pass(span, 0);
        ++spans;
    }
    const auto reads = static_cast<double>(fleet.sent().platformReads - before);
    state.counters["reads_per_second"] = reads / (spans * spanSeconds);
}

/// A new feed without a token in a fleet of `range(0)` hosts.
auto newFeedInFleet(benchmark::State &state) -> void
{
    BigFleet fleet(static_cast<std::size_t>(state.range(0)), benchTable());
    while (state.KeepRunning()) {
        const auto feed = fleet.host().arrive(feedRow);
        fleet.host().give(CallerLeft { feed });
    }
}

/// A tick of a host with a table of `range(0)` upstreams.
auto tickWithTable(benchmark::State &state) -> void
{
    const auto upstreams = static_cast<std::size_t>(state.range(0));
    constexpr std::size_t each = 10;
    BenchHost host(writeTable(makeTable(0, upstreams / each, each, BigFleet::zones)));
    while (state.KeepRunning()) {
        host.pass(config::tickPeriod);
    }
}

BENCHMARK(hostInFleet)
        ->ArgsProduct({ { 64, 344, 2750, designHosts }, { 0, 1 } })
        ->UseManualTime()
        ->Iterations(1)
        ->Unit(benchmark::kMillisecond);
BENCHMARK(joinFleet)
        ->Arg(64)
        ->Arg(344)
        ->Arg(2750)
        ->Arg(designHosts)
        ->Iterations(1)
        ->Unit(benchmark::kMillisecond);
BENCHMARK(platformSilent)->Iterations(3)->Unit(benchmark::kMillisecond);
BENCHMARK(newFeedInFleet)->Arg(8)->Arg(344)->Arg(designHosts)->Unit(benchmark::kMicrosecond);
BENCHMARK(tickWithTable)->Arg(20)->Arg(440)->Arg(4400)->Unit(benchmark::kMicrosecond);

} // namespace
