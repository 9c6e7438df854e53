/// Pool of emulated callers that generates the request load of all zones.
#include "emulator/callerpool.h"

#include "emulator/virtualclock.h"

namespace flamingograde::emulator {

namespace {

/// Callers added at a time for a kind with long flows: such flows pause between requests, so that
/// only some callers are active at once.
constexpr std::size_t callersPerActiveLongFlow = 3;
constexpr std::uint16_t portMin = 1025;
constexpr std::uint16_t portMax = 65535;

} // namespace

CallerPool::CallerPool(VirtualClock &virtualClock, std::uint32_t firstIp, std::uint64_t seed,
                       CallerPoolCallbacks handlers)
    : clock(virtualClock), baseIp(firstIp), random(seed), callbacks(std::move(handlers))
{}

auto CallerPool::begin(const std::string &zone, double perSecond,
                       std::vector<const LoadKind *> kinds) -> void
{
    this->running = true;
    this->generateRequest(zone, perSecond, kinds);
}

auto CallerPool::find(std::uint32_t ip) -> EmulatedCaller *
{
    const auto index = ip - this->baseIp;
    return index < this->callers.size() ? this->callers[index].process.get() : nullptr;
}

auto CallerPool::generateRequest(const std::string &zone, double perSecond,
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
    this->acquireCaller(zone, kind).begin(kind);
    std::exponential_distribution<double> pause(perSecond * this->factor);
    const auto wait = std::chrono::duration<double>(pause(this->random));
    this->clock.later(std::chrono::duration_cast<Duration>(wait), [this, zone, perSecond, kinds] {
        this->generateRequest(zone, perSecond, kinds);
    });
}

auto CallerPool::acquireCaller(const std::string &zone, const LoadKind &kind) -> EmulatedCaller &
{
    auto &pool = this->pools[{ zone, &kind }];
    const auto first = pool.empty() ? 0 : this->random() % pool.size();
    for (std::size_t i = 0; i < pool.size(); ++i) {
        auto &caller = *this->callers[pool[(first + i) % pool.size()]].process;
        if (caller.isFree()) {
            return caller;
        }
    }
    const auto count = kind.longFlows ? callersPerActiveLongFlow : 1;
    for (std::size_t i = 0; i < count; ++i) {
        this->add(zone);
        pool.push_back(this->callers.size() - 1);
    }
    return *this->callers.back().process;
}

auto CallerPool::add(const std::string &zone) -> void
{
    const auto index = this->callers.size();
    const auto ip = this->baseIp + static_cast<std::uint32_t>(index);
    CallerCallbacks handlers;
    handlers.toFabric = [this, index](const FlowPacket &packet) {
        this->callbacks.toFabric(index, packet);
    };
    handlers.onEnd = [this, index](const RequestResult &result) {
        this->callbacks.onEnd(index, result);
    };
    handlers.nextRequest = [this] { return ++this->lastRequest; };
    handlers.nextPort = [this] {
        this->lastPort = this->lastPort == portMax ? portMin : this->lastPort + 1;
        return this->lastPort;
    };
    CallerEntry entry;
    entry.zone = zone;
    entry.process =
            std::make_unique<EmulatedCaller>(this->clock, ip, std::move(handlers), this->random());
    this->callers.push_back(std::move(entry));
    if (this->callbacks.onAdded) {
        this->callbacks.onAdded(index, ip);
    }
}

} // namespace flamingograde::emulator
