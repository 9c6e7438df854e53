/// Time of a request on the host that is the home of its cell: arrival, dispatch, answer head and
/// end of the answer.
#include "benchhost.h"

#include "core/keys/idempotencykey.h"

#include <benchmark/benchmark.h>

#include <random>
#include <string>

namespace {

using namespace flamingograde;

/// Requests between two ticks: 1280 per simulated second.
constexpr std::size_t requestsPerTick = 64;

/// Runs complete requests to the row at `address`, each with a key from `nextKey`.
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
        if (++count % requestsPerTick == 0) {
            host.runFor(config::tickPeriod);
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

/// Non-idempotent requests, whose idempotency keys the host stores.
auto keyedRequests(benchmark::State &state) -> void
{
    std::mt19937_64 random(1);
    runRequests(state, keyedRow,
                [&] { return makeUuidV7(random, WallTime(std::chrono::seconds(1'800'000'014))); });
}

BENCHMARK(idempotentRequests);
BENCHMARK(keyedRequests);

} // namespace
