/// The callers of all zones and the pace of their requests.
#include "emulator/callerpool.h"

#include "emulator/virtualclock.h"

namespace flamingograde::emulator {

namespace {

/// Long flows pause between requests: there are so many callers for each that is at work.
constexpr std::size_t callersPerLongFlow = 3;
constexpr std::uint16_t firstPort = 1025;
constexpr std::uint16_t lastOfPorts = 65535;

} // namespace

CallerPool::CallerPool(VirtualClock &owner, std::uint32_t firstIp, std::uint64_t seed,
                       PoolSurroundings around)
    : clock(owner), netIp(firstIp), random(seed), surroundings(std::move(around))
{}

auto CallerPool::begin(const std::string &zone, double perSecond,
                       std::vector<const LoadKind *> kinds) -> void
{
    this->running = true;
    this->arrive(zone, perSecond, kinds);
}

auto CallerPool::find(std::uint32_t ip) -> EmulatedCaller *
{
    const auto index = ip - this->netIp;
    return index < this->callers.size() ? this->callers[index].process.get() : nullptr;
}

auto CallerPool::arrive(const std::string &zone, double perSecond,
                        const std::vector<const LoadKind *> &kinds) -> void
{
    if (!this->running) {
        return;
    }
    std::vector<double> shares;
    for (const auto *kind : kinds) {
        shares.push_back(kind->share);
    }
    std::discrete_distribution<std::size_t> draw(shares.begin(), shares.end());
    const auto &kind = *kinds[draw(this->random)];
    this->callerFor(zone, kind).begin(kind);
    std::exponential_distribution<double> pause(perSecond * this->factor);
    const auto wait = std::chrono::duration<double>(pause(this->random));
    this->clock.later(std::chrono::duration_cast<Duration>(wait),
                      [this, zone, perSecond, kinds] { this->arrive(zone, perSecond, kinds); });
}

auto CallerPool::callerFor(const std::string &zone, const LoadKind &kind) -> EmulatedCaller &
{
    auto &pool = this->pools[{ zone, &kind }];
    const auto first = pool.empty() ? 0 : this->random() % pool.size();
    for (std::size_t i = 0; i < pool.size(); ++i) {
        auto &caller = *this->callers[pool[(first + i) % pool.size()]].process;
        if (caller.isFree()) {
            return caller;
        }
    }
    const auto count = kind.longFlows ? callersPerLongFlow : 1;
    for (std::size_t i = 0; i < count; ++i) {
        this->add(zone);
        pool.push_back(this->callers.size() - 1);
    }
    return *this->callers.back().process;
}

auto CallerPool::add(const std::string &zone) -> void
{
    const auto index = this->callers.size();
    const auto ip = this->netIp + static_cast<std::uint32_t>(index);
    CallerSurroundings around;
    around.toFabric = [this, index](const FlowPacket &packet) {
        this->surroundings.toFabric(index, packet);
    };
    around.onEnd = [this, index](const RequestResult &result) {
        this->surroundings.onEnd(index, result);
    };
    around.nextRequest = [this] { return ++this->lastRequest; };
    around.nextPort = [this] {
        this->lastPort = this->lastPort == lastOfPorts ? firstPort : this->lastPort + 1;
        return this->lastPort;
    };
    Seat seat;
    seat.zone = zone;
    seat.process =
            std::make_unique<EmulatedCaller>(this->clock, ip, std::move(around), this->random());
    this->callers.push_back(std::move(seat));
    if (this->surroundings.onAdded) {
        this->surroundings.onAdded(index, ip);
    }
}

} // namespace flamingograde::emulator
