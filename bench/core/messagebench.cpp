/// Encoded size of messages between hosts by content, and time to encode and decode them.
#include "wire/messagecodec.h"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>

namespace {

using namespace flamingograde;

auto makeMember(std::uint64_t number) -> Member
{
    Member member;
    member.name = "zone-12-host-" + std::to_string(number);
    member.id = HostId::ofName(member.name);
    member.zoneName = "zone-12";
    member.zone = ZoneId::ofName(member.zoneName);
    member.peer = { 0x0A100001 + static_cast<std::uint32_t>(number), 7001 };
    member.relay = { 0x0A100001 + static_cast<std::uint32_t>(number), 7002 };
    member.incarnation = 1'800'000'000'000 + number;
    return member;
}

auto timeCodec(benchmark::State &state, const Message &message) -> void
{
    std::size_t bytes = 0;
    while (state.KeepRunning()) {
        const auto text = encode(message);
        bytes = text.size();
        benchmark::DoNotOptimize(decode(text));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

/// Probe with `range(0)` member changes and the loads of `range(1)` cells.
auto probeMessage(benchmark::State &state) -> void
{
    Ping ping;
    ping.sequence = 1'000'000;
    ping.gossip.revision = Revision { 100'000 };
    ping.gossip.tableDigest = hashName("table");
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        ping.gossip.updates.push_back(makeMember(static_cast<std::uint64_t>(i)));
    }
    for (std::int64_t i = 0; i < state.range(1); ++i) {
        CellLoad load;
        load.cell = CellId(hashName("cell " + std::to_string(i)));
        load.slots = 8;
        load.running = 5;
        ping.gossip.loads.push_back(load);
    }
    timeCodec(state, ping);
}

/// Claim of `range(0)` cells in a zone of `range(1)` hosts.
auto claimMessage(benchmark::State &state) -> void
{
    ClaimRequest claim;
    claim.round = claim.claim = 1000;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        claim.cells.push_back(CellId(hashName("cell " + std::to_string(i))));
    }
    for (std::int64_t i = 1; i < state.range(1); ++i) {
        claim.voters.push_back(makeMember(static_cast<std::uint64_t>(i)).id);
    }
    timeCodec(state, claim);
}

BENCHMARK(probeMessage)->ArgsProduct({ { 0, 6 }, { 0, 10 } });
BENCHMARK(claimMessage)->Args({ 1, 344 })->Args({ 10, 344 });

} // namespace
