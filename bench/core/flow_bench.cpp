/// Time of steering: token signing and verification, rendezvous hashing, and complete arrivals.
#include "core/rendezvous.h"
#include "core/requests/token.h"

#include <flamingograde/balancer.h>

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t upstreamCount = 14;

auto benchKeys() -> std::vector<TokenKey>
{
    TokenKey old;
    old.id = 1;
    old.secret.fill(0x11);
    TokenKey signing;
    signing.id = 2;
    signing.secret.fill(0x22);
    signing.signing = true;
    return { old, signing };
}

auto benchToken() -> std::string
{
    return signToken({ ServiceId::ofName("packs"), UpstreamId::ofName("u3"), FlowId(9) },
                     benchKeys().back());
}

auto benchTable() -> std::string
{
    std::string text = "[[token_key]]\nid = 1\nsecret = \"" + std::string(32, '1')
                       + "\"\nsigning = false\n[[token_key]]\nid = 2\nsecret = \""
                       + std::string(32, '2') + "\"\nsigning = true\n"
                       + "[[row]]\nname = \"feed\"\nservice = \"packs\"\nkind = \"feed\"\n"
                         "address = \"10.9.0.1:80\"\n";
    for (std::size_t i = 0; i < upstreamCount; ++i) {
        const auto number = std::to_string(i + 1);
        text += "[[upstream]]\nname = \"u" + number + "\"\nservice = \"packs\"\nzone = \"a\"\n"
                + "address = \"10.1.1." + number + ":80\"\nconnections = 100000\n";
    }
    return text;
}

auto verifying(benchmark::State &state) -> void
{
    const auto keys = benchKeys();
    const auto text = benchToken();
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(verifyToken(text, keys));
    }
}

auto signing(benchmark::State &state) -> void
{
    const auto keys = benchKeys();
    const FlowToken token { ServiceId(1), UpstreamId(2), FlowId(3) };
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(signToken(token, keys.back()));
    }
}

auto picking(benchmark::State &state) -> void
{
    std::vector<RendezvousNode> nodes;
    for (std::size_t i = 0; i < upstreamCount; ++i) {
        nodes.push_back({ hashName(std::to_string(i)), 2000 });
    }
    std::uint64_t key = 0;
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(rendezvousPick(++key, nodes));
    }
}

/// Arrival and departure of a feed's caller while `state.range(0)` other feeds are open.
auto arriving(benchmark::State &state, const std::string &token) -> void
{
    Init init;
    init.self.name = "a1";
    init.self.id = HostId::ofName("a1");
    init.self.zoneName = "a";
    init.self.zone = ZoneId::ofName("a");
    init.self.peer = { 1, 1 };
    Balancer balancer(init);
    const Now now { MonoTime(1s), WallTime(1'800'000'000s) };
    static_cast<void>(balancer.handle(now, TableFetched { Revision { 1 }, benchTable() }));
    CallerArrived arrived;
    arrived.address = *Address::parse("10.9.0.1:80");
    arrived.token = token;
    std::uint64_t id = 0;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        arrived.exchange = ExchangeId(++id);
        static_cast<void>(balancer.handle(now, arrived));
    }
    while (state.KeepRunning()) {
        arrived.exchange = ExchangeId(++id);
        benchmark::DoNotOptimize(balancer.handle(now, arrived));
        benchmark::DoNotOptimize(balancer.handle(now, CallerLeft { arrived.exchange }));
    }
}

BENCHMARK(verifying);
BENCHMARK(signing);
BENCHMARK(picking);
BENCHMARK_CAPTURE(arriving, with_token, benchToken())->Arg(0)->Arg(50000);
BENCHMARK_CAPTURE(arriving, without_token, std::string())->Arg(0)->Arg(50000);

} // namespace

} // namespace flamingograde
