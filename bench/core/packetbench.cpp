/// Time of a packet decision: steering by cookie, and placement of a new flow on an upstream.
#include <flamingograde/balancer.h>

#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace flamingograde;
using namespace std::chrono_literals;

constexpr Address rowAddress { 0xc6120001, 8443 };
constexpr std::uint32_t upstreamNet = 0x0a800000;
constexpr std::uint32_t callerNet = 0x64400000;
constexpr std::size_t zones = 4;
/// Flows that `steerByCookie` cycles through in batches, with one packet each; also the number of
/// ports per caller address.
constexpr std::uint32_t flows = 4096;

auto settings() -> Init
{
    Init init;
    init.self.name = "host";
    init.self.id = HostId::ofName(init.self.name);
    init.self.zoneName = "zone-0";
    init.self.zone = ZoneId::ofName(init.self.zoneName);
    init.readsDirectory = true;
    init.flowsTracked = config::flowsTracked;
    return init;
}

auto makeUpstreamRecord(std::uint64_t number) -> DirectoryRecord
{
    DirectoryRecord record;
    auto &upstream = record.upstream;
    upstream.instance = InstanceId(number * 0x9E3779B97F4A7C15);
    upstream.name = "upstream-" + std::to_string(number);
    upstream.id = UpstreamId::ofName(upstream.name);
    upstream.serviceName = "live";
    upstream.service = ServiceId::ofName(upstream.serviceName);
    upstream.zoneName = "zone-" + std::to_string(number % zones);
    upstream.zone = ZoneId::ofName(upstream.zoneName);
    upstream.address = { upstreamNet + static_cast<std::uint32_t>(number), 8080 };
    upstream.slots = 2;
    record.changed = { number };
    record.created = { number };
    return record;
}

auto makeRows() -> std::shared_ptr<const PacketRows>
{
    PacketRow row;
    row.name = "feed";
    row.id = RowId::ofName(row.name);
    row.address = rowAddress;
    row.shares = { { ServiceId::ofName("live"), "live", 1 } };
    auto rows = std::make_shared<PacketRows>();
    rows->version = 1;
    rows->changed = { 1 };
    rows->rows = { row };
    return rows;
}

/// Host with one packet row and a given number of upstreams of one service.
class PacketHost
{
public:
    explicit PacketHost(std::size_t upstreams) : balancer(settings())
    {
        DirectoryUpdate update;
        update.upTo = { upstreams + 1 };
        update.rows = makeRows();
        for (std::uint64_t number = 1; number <= upstreams; ++number) {
            update.present.push_back(makeUpstreamRecord(number));
        }
        static_cast<void>(
                this->balancer.handle(this->now, DirectoryRead { std::move(update), false }));
        this->heads.resize(config::packetBatch);
        this->decisions.reserve(config::packetBatch);
    }

    /// Steers a batch of packets. `make` returns the packet of a running number.
    template<typename Make>
    auto steer(const Make &make) -> const std::vector<PacketDecision> &
    {
        for (auto &head : this->heads) {
            head = make(this->next++);
        }
        this->now.mono += 1ms;
        this->balancer.steer(this->now, this->heads, this->decisions);
        return this->decisions;
    }

private:
    Balancer balancer;
    Now now { MonoTime(100s), WallTime(100s) };
    std::vector<PacketHead> heads;
    std::vector<PacketDecision> decisions;
    std::uint32_t next = 0;
};

auto makeOpeningPacket(std::uint32_t number) -> PacketHead
{
    PacketHead head;
    head.service = rowAddress;
    head.caller = { callerNet + number / flows, static_cast<std::uint16_t>(number % flows + 1024) };
    head.flags.opens = true;
    return head;
}

auto reportPacketCount(benchmark::State &state) -> void
{
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations())
                            * static_cast<std::int64_t>(config::packetBatch));
}

/// Steering of acknowledgements that carry the cookie of an upstream.
auto steerByCookie(benchmark::State &state) -> void
{
    PacketHost host(static_cast<std::size_t>(state.range(0)));
    const auto cookie = host.steer(makeOpeningPacket).front().targets.front().cookie;
    const auto makeAcknowledgement = [cookie](std::uint32_t number) {
        auto head = makeOpeningPacket(number % flows);
        head.flags.opens = false;
        head.flags.acknowledges = true;
        head.cookie = cookie;
        head.acknowledged = number;
        return head;
    };
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(host.steer(makeAcknowledgement).data());
    }
    reportPacketCount(state);
}

/// Placement of flows by their opening packets.
auto placeNewFlow(benchmark::State &state) -> void
{
    PacketHost host(static_cast<std::size_t>(state.range(0)));
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(host.steer(makeOpeningPacket).data());
    }
    reportPacketCount(state);
}

BENCHMARK(steerByCookie)->Arg(18)->Arg(120)->Arg(110000);
BENCHMARK(placeNewFlow)->Arg(18)->Arg(120)->Arg(110000);

} // namespace
