/// Implements the kinds of trouble. docs/EMULATOR.md lists the kinds.
#include "emulator/troubles.h"

#include "emulator/emulation.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace flamingograde::emulator {

namespace {

using namespace std::chrono_literals;

using TroubleAction = std::function<void(Emulation &, const TroublePlan &)>;

/// A replacement upstream starts this long before the old one drains.
constexpr Duration replacementLead = 1s;

/// Returns a random selection from `all`: the trouble's share of them, or its count.
auto pickRandom(Emulation &emulation, std::vector<std::size_t> all, const TroublePlan &trouble)
        -> std::vector<std::size_t>
{
    std::shuffle(all.begin(), all.end(), emulation.draw());
    const auto wanted = trouble.share > 0 ? static_cast<std::size_t>(std::max(
                                1.0, std::round(trouble.share * static_cast<double>(all.size()))))
                                          : trouble.count;
    all.resize(std::min(all.size(), wanted));
    return all;
}

auto pickUpstreams(Emulation &emulation, const TroublePlan &trouble) -> std::vector<std::size_t>
{
    auto all = emulation.running(trouble.service);
    if (!trouble.zone.empty()) {
        all.erase(std::remove_if(all.begin(), all.end(),
                                 [&](std::size_t index) {
                                     return emulation.upstreamEntry(index).place.zone
                                            != trouble.zone;
                                 }),
                  all.end());
    }
    return pickRandom(emulation, std::move(all), trouble);
}

auto pickHosts(Emulation &emulation, const TroublePlan &trouble) -> std::vector<std::size_t>
{
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < emulation.hostCount(); ++i) {
        const auto isCandidate =
                trouble.zone.empty() || emulation.host(i).place().zone == trouble.zone;
        if (isCandidate && emulation.host(i).life() != HostLife::Off) {
            all.push_back(i);
        }
    }
    return pickRandom(emulation, std::move(all), trouble);
}

auto faultOf(const TroublePlan &trouble) -> LinkFault
{
    return trouble.how == "reset" ? LinkFault::Refuse : LinkFault::Silent;
}

auto modeOf(const TroublePlan &trouble) -> StoreMode
{
    return trouble.how.rfind("busy", 0) == 0 ? StoreMode::Refuses : StoreMode::Silent;
}

auto failUpstreams(Emulation &emulation, const TroublePlan &trouble) -> void
{
    const auto kind = trouble.how == "dark" ? UpstreamLife::Dark : UpstreamLife::Crashed;
    for (const auto index : pickUpstreams(emulation, trouble)) {
        const auto &record = emulation.upstreamEntry(index).record;
        const auto service = record.serviceName;
        const auto zone = record.zoneName;
        emulation.failUpstream(index, kind);
        if (trouble.duration > Duration(0)) {
            emulation.clock().later(trouble.duration, [&emulation, service, zone] {
                emulation.addUpstream(service, zone);
            });
        }
    }
}

auto restartUpstreams(Emulation &emulation, const TroublePlan &trouble) -> void
{
    const auto kind = trouble.how == "dark" ? UpstreamLife::Dark : UpstreamLife::Crashed;
    for (const auto index : pickUpstreams(emulation, trouble)) {
        emulation.restartUpstream(index, kind, trouble.duration);
    }
}

auto cutUpstreams(Emulation &emulation, const TroublePlan &trouble) -> void
{
    for (const auto index : pickUpstreams(emulation, trouble)) {
        const auto name = emulation.upstreamEntry(index).place.name;
        if (trouble.how != "store") {
            emulation.network().cutFromHosts(name, LinkFault::Silent);
        }
        if (trouble.how != "hosts") {
            emulation.network().cutFromStore(name, LinkFault::Silent);
        }
        emulation.disturbUpstream(index, trouble.duration);
        emulation.clock().later(trouble.duration,
                                [&emulation, name] { emulation.network().heal(name); });
    }
}

auto slowUpstreams(Emulation &emulation, const TroublePlan &trouble) -> void
{
    for (const auto index : pickUpstreams(emulation, trouble)) {
        auto &process = *emulation.upstreamEntry(index).process;
        process.serviceTimeFactor = trouble.factor;
        emulation.clock().later(trouble.duration, [&process] { process.serviceTimeFactor = 1; });
    }
}

auto release(Emulation &emulation, const TroublePlan &trouble) -> void
{
    Duration wait { 0 };
    for (const auto index : pickUpstreams(emulation, trouble)) {
        emulation.clock().later(wait, [&emulation, index] {
            const auto record = emulation.upstreamEntry(index).record;
            emulation.addUpstream(record.serviceName, record.zoneName);
        });
        emulation.clock().later(wait + replacementLead,
                                [&emulation, index] { emulation.drainUpstream(index); });
        wait += trouble.gap;
    }
}

auto scaleIn(Emulation &emulation, const TroublePlan &trouble) -> void
{
    for (const auto index : pickUpstreams(emulation, trouble)) {
        emulation.drainUpstream(index);
    }
}

/// Fails upstreams permanently and reassigns their addresses to upstreams of another service.
auto reuseAddresses(Emulation &emulation, const TroublePlan &trouble) -> void
{
    const auto kind = trouble.how == "dark" ? UpstreamLife::Dark : UpstreamLife::Crashed;
    for (const auto index : pickUpstreams(emulation, trouble)) {
        const auto record = emulation.upstreamEntry(index).record;
        emulation.failUpstream(index, kind);
        std::string other;
        for (const auto &service : emulation.plan.services) {
            other = service.name != record.serviceName ? service.name : other;
        }
        emulation.clock().later(2s, [&emulation, record, other] {
            emulation.addUpstream(other.empty() ? record.serviceName : other, record.zoneName,
                                  record.address);
        });
    }
}

auto killHosts(Emulation &emulation, const TroublePlan &trouble) -> void
{
    const auto power = trouble.how == "power";
    for (const auto index : pickHosts(emulation, trouble)) {
        auto &host = emulation.host(index);
        if (!power) {
            host.restart();
            continue;
        }
        host.kill(true);
        emulation.clock().later(trouble.duration, [&host] {
            if (host.life() == HostLife::Off) {
                host.start();
            }
        });
    }
}

auto freezeHosts(Emulation &emulation, const TroublePlan &trouble) -> void
{
    for (const auto index : pickHosts(emulation, trouble)) {
        auto &host = emulation.host(index);
        host.freeze();
        emulation.clock().later(trouble.duration, [&host] { host.wake(); });
    }
}

auto stopHosts(Emulation &emulation, const TroublePlan &trouble) -> void
{
    Duration wait { 0 };
    for (const auto index : pickHosts(emulation, trouble)) {
        emulation.clock().later(wait, [&emulation, index] { emulation.host(index).stop(true); });
        wait += trouble.gap;
    }
}

auto addHosts(Emulation &emulation, const TroublePlan &trouble) -> void
{
    for (std::size_t i = 0; i < trouble.count; ++i) {
        const auto &zones = emulation.plan.zones;
        emulation.addHost(trouble.zone.empty() ? zones[i % zones.size()].name : trouble.zone);
    }
}

auto cutZone(Emulation &emulation, const TroublePlan &trouble) -> void
{
    emulation.network().cutZone(trouble.zone, faultOf(trouble));
    for (const auto index : emulation.running("")) {
        if (emulation.upstreamEntry(index).place.zone == trouble.zone) {
            emulation.disturbUpstream(index, trouble.duration);
        }
    }
    emulation.clock().later(trouble.duration,
                            [&emulation, zone = trouble.zone] { emulation.network().heal(zone); });
}

auto cutHosts(Emulation &emulation, const TroublePlan &trouble) -> void
{
    for (const auto index : pickHosts(emulation, trouble)) {
        const auto name = emulation.host(index).name();
        emulation.network().cutPlace(name, faultOf(trouble));
        emulation.clock().later(trouble.duration,
                                [&emulation, name] { emulation.network().heal(name); });
    }
}

auto stopStore(Emulation &emulation, const TroublePlan &trouble) -> void
{
    emulation.store().mode = modeOf(trouble);
    emulation.store().leasesExpireDuringOutage = trouble.how.find("lapse") != std::string::npos;
    emulation.clock().later(trouble.duration,
                            [&emulation] { emulation.store().mode = StoreMode::Answers; });
}

auto refuseHosts(Emulation &emulation, const TroublePlan &trouble) -> void
{
    for (const auto index : pickHosts(emulation, trouble)) {
        const auto name = emulation.host(index).name();
        emulation.store().modeByHost[name] = modeOf(trouble);
        emulation.clock().later(trouble.duration,
                                [&emulation, name] { emulation.store().modeByHost.erase(name); });
    }
}

auto slowStore(Emulation &emulation, const TroublePlan &trouble) -> void
{
    const auto normalDelay = emulation.store().answerDelay;
    const auto slowedDelay = static_cast<double>(normalDelay.count()) * trouble.factor;
    emulation.store().answerDelay = Duration(static_cast<Duration::rep>(slowedDelay));
    emulation.clock().later(trouble.duration, [&emulation, normalDelay] {
        emulation.store().answerDelay = normalDelay;
    });
}

auto loseAnswers(Emulation &emulation, const TroublePlan &trouble) -> void
{
    emulation.store().answerLossShare = trouble.share;
    emulation.clock().later(trouble.duration,
                            [&emulation] { emulation.store().answerLossShare = 0; });
}

auto forgetHistory(Emulation &emulation, const TroublePlan & /*trouble*/) -> void
{
    emulation.store().forgetHistory();
}

/// Takes a copy of the store, and restores it after an outage that begins `gap` later.
auto restoreStore(Emulation &emulation, const TroublePlan &trouble) -> void
{
    emulation.store().takeCopy();
    emulation.clock().later(trouble.gap, [&emulation, trouble] {
        stopStore(emulation, trouble);
        emulation.clock().later(trouble.duration, [&emulation] { emulation.restoreStore(); });
    });
}

auto publishRows(Emulation &emulation, const TroublePlan &trouble) -> void
{
    for (std::size_t i = 0; i < trouble.count; ++i) {
        emulation.clock().later(trouble.gap * static_cast<int>(i),
                                [&emulation] { emulation.publish(); });
    }
}

auto moveCallers(Emulation &emulation, const TroublePlan &trouble) -> void
{
    const auto &zones = emulation.plan.zones;
    const auto from = trouble.zone.empty() ? zones.front().name : trouble.zone;
    const auto to = trouble.how.empty() ? zones.back().name : trouble.how;
    emulation.movedShare = trouble.share;
    emulation.movedCallers[from] = to;
    emulation.clock().later(trouble.duration,
                            [&emulation, from] { emulation.movedCallers.erase(from); });
}

auto burst(Emulation &emulation, const TroublePlan &trouble) -> void
{
    emulation.callers().factor = trouble.factor;
    emulation.clock().later(trouble.duration, [&emulation] { emulation.callers().factor = 1; });
}

auto evacuateZone(Emulation &emulation, const TroublePlan &trouble) -> void
{
    emulation.evacuateZone(trouble.zone);
    const auto cold = trouble.how != "warm";
    emulation.clock().later(trouble.duration, [&emulation, zone = trouble.zone, cold] {
        emulation.endEvacuation(zone, cold);
    });
}

auto kinds() -> const std::map<std::string, TroubleAction> &
{
    static const std::map<std::string, TroubleAction> all {
        { "upstream-fail", &failUpstreams },
        { "upstream-slow", &slowUpstreams },
        { "upstream-cut", &cutUpstreams },
        { "upstream-restart", &restartUpstreams },
        { "release", &release },
        { "scale-in", &scaleIn },
        { "address-reuse", &reuseAddresses },
        { "host-kill", &killHosts },
        { "host-freeze", &freezeHosts },
        { "host-stop", &stopHosts },
        { "host-add", &addHosts },
        { "zone-cut", &cutZone },
        { "zone-evacuate", &evacuateZone },
        { "host-cut", &cutHosts },
        { "store-down", &stopStore },
        { "store-refuses-hosts", &refuseHosts },
        { "store-slow", &slowStore },
        { "store-loses-answers", &loseAnswers },
        { "store-forgets", &forgetHistory },
        { "store-restore", &restoreStore },
        { "rows", &publishRows },
        { "callers-move", &moveCallers },
        { "burst", &burst },
    };
    return all;
}

} // namespace

auto isTroubleKind(const std::string &kind) -> bool
{
    return kinds().count(kind) != 0;
}

auto troubleKinds() -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &[name, act] : kinds()) {
        names.push_back(name);
    }
    return names;
}

auto planTroubles(Emulation &emulation) -> void
{
    for (const auto &trouble : emulation.plan.troubles) {
        const auto &act = kinds().at(trouble.kind);
        emulation.clock().later(trouble.at,
                                [&emulation, &act, trouble] { act(emulation, trouble); });
    }
}

} // namespace flamingograde::emulator
