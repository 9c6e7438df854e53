/// Emulated network between hosts, upstreams, callers and the store.
#include "emulator/network.h"

#include <algorithm>
#include <utility>

namespace flamingograde::emulator {

auto Network::cutZone(const std::string &zone, LinkFault fault) -> void
{
    this->cuts["zone " + zone] = fault;
}

auto Network::cutPlace(const std::string &name, LinkFault fault) -> void
{
    this->cuts[name] = fault;
}

auto Network::cutFromHosts(const std::string &name, LinkFault fault) -> void
{
    this->cuts["hosts " + name] = fault;
}

auto Network::cutFromStore(const std::string &name, LinkFault fault) -> void
{
    this->cuts["store " + name] = fault;
}

auto Network::heal(const std::string &name) -> void
{
    for (const auto *kind : { "", "zone ", "hosts ", "store " }) {
        this->cuts.erase(kind + name);
    }
}

auto Network::cutOf(const std::string &name) const -> LinkFault
{
    const auto found = this->cuts.find(name);
    return found == this->cuts.end() ? LinkFault::None : found->second;
}

auto Network::faultBetween(const Place &a, const Place &b) const -> LinkFault
{
    if (a.name == b.name) {
        return LinkFault::None;
    }
    const auto keyPrefix = [](const Place &end) { return end.zone.empty() ? "store " : "hosts "; };
    auto worst =
            std::max({ this->cutOf(a.name), this->cutOf(b.name), this->cutOf(keyPrefix(b) + a.name),
                       this->cutOf(keyPrefix(a) + b.name) });
    if (a.zone != b.zone) {
        worst = std::max({ worst, this->cutOf("zone " + a.zone), this->cutOf("zone " + b.zone) });
    }
    return worst;
}

auto Network::delayBetween(const Place &a, const Place &b) const -> Duration
{
    return a.zone == b.zone ? this->inZone : this->betweenZones;
}

auto Network::isLost() -> bool
{
    return this->loss > 0
           && std::uniform_real_distribution<double>(0, 1)(this->random) < this->loss;
}

auto Network::send(const Place &from, const Place &to, VirtualClock::Task arrive) -> void
{
    if (this->faultBetween(from, to) == LinkFault::None && !this->isLost()) {
        this->clock.later(this->delayBetween(from, to), std::move(arrive));
    }
}

auto Network::sendToCaller(VirtualClock::Task arrive) -> void
{
    if (!this->isLost()) {
        this->clock.later(this->toCaller, std::move(arrive));
    }
}

} // namespace flamingograde::emulator
