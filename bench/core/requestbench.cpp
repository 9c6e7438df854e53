/// Requests through a balancer that is the home of their cell: arrival, dispatch, head, answer.
#include "benchhost.h"

#include "core/keys/idempotencykey.h"

#include <benchmark/benchmark.h>

#include <random>
#include <string>

namespace {

using namespace flamingograde;

constexpr std::size_t ticksEvery = 64; ///< Requests between two ticks: 1280 a second of host time.

/// Runs whole requests of the row at `address`, each with a key from `nextKey`.
template<typename NextKey>
auto runRequests(benchmark::State &state, Address address, NextKey nextKey) -> void
{
    BenchHost host;
    const auto before = host.balancer().stats().answered;
    std::size_t count = 0;
    while (state.KeepRunning()) {
        const auto request = host.arrive(address, {}, nextKey());
        host.report(request, Progress::Answering);
        host.report(request, Progress::Answered);
        if (++count % ticksEvery == 0) {
            host.pass(config::tickPeriod);
        }
    }
    const auto answered = static_cast<double>(host.balancer().stats().answered - before);
    state.SetItemsProcessed(static_cast<std::int64_t>(answered));
    state.counters["answered_share"] = answered / static_cast<double>(state.iterations());
}

auto idempotentRequests(benchmark::State &state) -> void
{
    runRequests(state, readRow, [] { return std::string(); });
}

/// Non-idempotent requests whose keys are remembered.
auto keyedRequests(benchmark::State &state) -> void
{
    std::mt19937_64 random(1);
    runRequests(state, keyedRow,
                [&] { return makeUuidV7(random, WallTime(std::chrono::seconds(1'800'000'014))); });
}

BENCHMARK(idempotentRequests);
BENCHMARK(keyedRequests);

} // namespace
