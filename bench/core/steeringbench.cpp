/// Time of a steering decision: token verification with table look-ups, complete arrivals of feeds
/// at the balancer, and rendezvous hashing.
#include "benchhost.h"

#include "core/rendezvous.h"
#include "core/requests/token.h"

#include <flamingograde/tableparser.h>

#include <benchmark/benchmark.h>

#include <chrono>
#include <functional>
#include <vector>

namespace {

using namespace flamingograde;

/// Arrivals timed together, so that the cost of reading the clock is negligible.
constexpr std::size_t batch = 4096;

auto tokenFor(const Table &table) -> std::string
{
    const auto &upstream = table.upstreams().front();
    return signToken({ upstream.service, upstream.id, FlowId(1) }, table.tokenKeys().front());
}

/// Verifies a token and looks up the row by address and the upstream by id.
auto steerByToken(benchmark::State &state) -> void
{
    const auto table = *parseTable(benchTable(), "bench");
    const auto token = tokenFor(table);
    std::size_t placed = 0;
    while (state.KeepRunning()) {
        const auto *row = table.rowAt(readRow);
        const auto flow = verifyToken(token, table.tokenKeys());
        const auto *upstream = flow ? table.upstream(flow->upstream) : nullptr;
        placed += upstream != nullptr && upstream->service == row->service ? 1 : 0;
    }
    state.counters["placed_share"] =
            static_cast<double>(placed) / static_cast<double>(state.iterations());
}

/// Rendezvous pick among `benchUpstreams` upstreams.
auto rendezvousOverUpstreams(benchmark::State &state) -> void
{
    std::vector<RendezvousNode> nodes;
    for (std::uint64_t i = 1; i <= benchUpstreams; ++i) {
        nodes.push_back({ i * 0x9E3779B97F4A7C15, 2000.0 });
    }
    std::uint64_t flow = 0;
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(rendezvousPick(++flow, nodes));
    }
}

/// Times batches of `arrive`. The callers leave between batches, outside the timed section.
auto timeArrivals(benchmark::State &state, BenchHost &host,
                  const std::function<ExchangeId()> &arrive) -> void
{
    std::vector<ExchangeId> exchanges(batch);
    while (state.KeepRunning()) {
        const auto begin = std::chrono::steady_clock::now();
        for (auto &exchange : exchanges) {
            exchange = arrive();
        }
        const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - begin;
        state.SetIterationTime(passed.count() / static_cast<double>(batch));
        for (const auto exchange : exchanges) {
            host.handleEvent(CallerLeft { exchange });
        }
    }
    state.counters["per_second"] =
            benchmark::Counter(1, benchmark::Counter::kIsIterationInvariantRate);
}

/// Arrival of a feed with a token, through `Balancer::handle`.
auto handleFeedWithToken(benchmark::State &state) -> void
{
    BenchHost host;
    const auto token = host.feedToken();
    timeArrivals(state, host, [&] { return host.arrive(feedRow, token); });
}

/// Arrival of a feed without a token, through `Balancer::handle`, which places it by rendezvous.
auto handleNewFeed(benchmark::State &state) -> void
{
    BenchHost host;
    timeArrivals(state, host, [&] { return host.arrive(feedRow); });
}

BENCHMARK(steerByToken);
BENCHMARK(rendezvousOverUpstreams);
BENCHMARK(handleFeedWithToken)->UseManualTime()->Iterations(100);
BENCHMARK(handleNewFeed)->UseManualTime()->Iterations(100);

} // namespace
