/// Cost of a host in fleets of up to the design size of 11,000 hosts: memory, control traffic and
/// tick time by number of hosts, new-feed time by fleet size, and tick time by table size.
#include "bigfleet.h"

#include "unit/tabletext.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <memory>

namespace {

using namespace flamingograde;
using namespace std::chrono_literals;

constexpr Duration interval = 10s; ///< Simulated time per iteration.
constexpr double intervalSeconds = 10;
constexpr std::size_t designHosts = 11'000;

/// Member changes per second at the design rate. A day has 11,000 restarts, each gossiped as
/// leaving, dead and alive, and 210 failures, each gossiped as suspect, dead and alive.
constexpr double designChanges = (11'000 + 210) * 3 / 86'400.0;

/// One host in a fleet of `range(0)` hosts, without member changes (`range(1)` is 0) or with
/// changes at the design rate (1).
auto hostInFleet(benchmark::State &state) -> void
{
    const auto before = allocatedBytes();
    BigFleet fleet(static_cast<std::size_t>(state.range(0)), benchTable());
    const auto held = allocatedBytes() - before;
    const auto changes = state.range(1) == 0 ? 0.0 : designChanges;
    double intervals = 0;
    while (state.KeepRunning()) {
        const auto begin = std::chrono::steady_clock::now();
        fleet.runFor(interval, changes);
        const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - begin;
        state.SetIterationTime(passed.count());
        ++intervals;
    }
    const auto seconds = intervals * intervalSeconds;
    state.counters["held_bytes"] = held;
    state.counters["bytes_sent_per_second"] =
            static_cast<double>(fleet.sentAfterJoining().bytes) / seconds;
    state.counters["messages_sent_per_second"] =
            static_cast<double>(fleet.sentAfterJoining().messages) / seconds;
    state.counters["members"] = static_cast<double>(fleet.host().balancer().stats().membersAlive);
}

/// Bytes and connection requests of a host in its first seconds in a fleet of `range(0)` hosts.
auto joinFleet(benchmark::State &state) -> void
{
    SentTraffic sent;
    while (state.KeepRunning()) {
        const BigFleet fleet(static_cast<std::size_t>(state.range(0)), benchTable());
        sent = fleet.sentWhileJoining();
    }
    state.counters["bytes_sent"] = static_cast<double>(sent.bytes);
    state.counters["dials"] = static_cast<double>(sent.dials);
}

/// Rate of platform reads by one host of 11,000 while every read fails.
auto platformSilent(benchmark::State &state) -> void
{
    BigFleet fleet(designHosts, benchTable());
    fleet.failPlatformReads();
    fleet.runFor(interval, 0);
    const auto before = fleet.sentAfterJoining().platformReads;
    double intervals = 0;
    while (state.KeepRunning()) {
        fleet.runFor(interval, 0);
        ++intervals;
    }
    const auto reads = static_cast<double>(fleet.sentAfterJoining().platformReads - before);
    state.counters["reads_per_second"] = reads / (intervals * intervalSeconds);
}

/// Placement of a new feed without a token in a fleet of `range(0)` hosts.
auto newFeedInFleet(benchmark::State &state) -> void
{
    BigFleet fleet(static_cast<std::size_t>(state.range(0)), benchTable());
    while (state.KeepRunning()) {
        const auto feed = fleet.host().arrive(feedRow);
        fleet.host().handleEvent(CallerLeft { feed });
    }
}

/// Tick of a host with a table of `range(0)` upstreams.
auto tickWithTable(benchmark::State &state) -> void
{
    const auto upstreams = static_cast<std::size_t>(state.range(0));
    constexpr std::size_t each = 10;
    BenchHost host(writeTable(makeTable(0, upstreams / each, each, BigFleet::zones)));
    while (state.KeepRunning()) {
        host.runFor(config::tickPeriod);
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
