/// What each kind of trouble does. docs/EMULATOR.md lists the kinds.
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

using Trouble = std::function<void(Emulation &, const TroublePlan &)>;

constexpr Duration releaseLead = 1s; ///< A new upstream starts so long before the old one leaves.

/// Returns some of `all`, drawn at random: a share of them, or a number.
auto pick(Emulation &world, std::vector<std::size_t> all, const TroublePlan &trouble)
        -> std::vector<std::size_t>
{
    std::shuffle(all.begin(), all.end(), world.draw());
    const auto wanted = trouble.share > 0 ? static_cast<std::size_t>(std::max(
                                1.0, std::round(trouble.share * static_cast<double>(all.size()))))
                                          : trouble.count;
    all.resize(std::min(all.size(), wanted));
    return all;
}

auto pickUpstreams(Emulation &world, const TroublePlan &trouble) -> std::vector<std::size_t>
{
    auto all = world.running(trouble.service);
    if (!trouble.zone.empty()) {
        all.erase(std::remove_if(all.begin(), all.end(),
                                 [&](std::size_t index) {
                                     return world.seat(index).place.zone != trouble.zone;
                                 }),
                  all.end());
    }
    return pick(world, std::move(all), trouble);
}

auto pickHosts(Emulation &world, const TroublePlan &trouble) -> std::vector<std::size_t>
{
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < world.hostCount(); ++i) {
        const auto fits = trouble.zone.empty() || world.host(i).place().zone == trouble.zone;
        if (fits && world.host(i).life() != HostLife::Off) {
            all.push_back(i);
        }
    }
    return pick(world, std::move(all), trouble);
}

auto faultOf(const TroublePlan &trouble) -> LinkFault
{
    return trouble.how == "reset" ? LinkFault::Refuse : LinkFault::Silent;
}

auto modeOf(const TroublePlan &trouble) -> StoreMode
{
    return trouble.how.rfind("busy", 0) == 0 ? StoreMode::Refuses : StoreMode::Silent;
}

auto failUpstreams(Emulation &world, const TroublePlan &trouble) -> void
{
    const auto kind = trouble.how == "dark" ? UpstreamLife::Dark : UpstreamLife::Crashed;
    for (const auto index : pickUpstreams(world, trouble)) {
        const auto &record = world.seat(index).record;
        const auto service = record.serviceName;
        const auto zone = record.zoneName;
        world.failUpstream(index, kind);
        if (trouble.lasts > Duration(0)) {
            world.clock().later(trouble.lasts,
                                [&world, service, zone] { world.addUpstream(service, zone); });
        }
    }
}

auto restartUpstreams(Emulation &world, const TroublePlan &trouble) -> void
{
    const auto kind = trouble.how == "dark" ? UpstreamLife::Dark : UpstreamLife::Crashed;
    for (const auto index : pickUpstreams(world, trouble)) {
        world.restartUpstream(index, kind, trouble.lasts);
    }
}

auto cutUpstreams(Emulation &world, const TroublePlan &trouble) -> void
{
    for (const auto index : pickUpstreams(world, trouble)) {
        const auto name = world.seat(index).place.name;
        if (trouble.how != "store") {
            world.network().cutFromHosts(name, LinkFault::Silent);
        }
        if (trouble.how != "hosts") {
            world.network().cutFromStore(name, LinkFault::Silent);
        }
        world.disturbUpstream(index, trouble.lasts);
        world.clock().later(trouble.lasts, [&world, name] { world.network().heal(name); });
    }
}

auto slowUpstreams(Emulation &world, const TroublePlan &trouble) -> void
{
    for (const auto index : pickUpstreams(world, trouble)) {
        auto &process = *world.seat(index).process;
        process.slowness = trouble.factor;
        world.clock().later(trouble.lasts, [&process] { process.slowness = 1; });
    }
}

auto release(Emulation &world, const TroublePlan &trouble) -> void
{
    Duration wait { 0 };
    for (const auto index : pickUpstreams(world, trouble)) {
        world.clock().later(wait, [&world, index] {
            const auto record = world.seat(index).record;
            world.addUpstream(record.serviceName, record.zoneName);
        });
        world.clock().later(wait + releaseLead, [&world, index] { world.drainUpstream(index); });
        wait += trouble.gap;
    }
}

auto scaleIn(Emulation &world, const TroublePlan &trouble) -> void
{
    for (const auto index : pickUpstreams(world, trouble)) {
        world.drainUpstream(index);
    }
}

/// Upstreams fall silent for good; their addresses go to upstreams of another service.
auto reuseAddresses(Emulation &world, const TroublePlan &trouble) -> void
{
    const auto kind = trouble.how == "dark" ? UpstreamLife::Dark : UpstreamLife::Crashed;
    for (const auto index : pickUpstreams(world, trouble)) {
        const auto record = world.seat(index).record;
        world.failUpstream(index, kind);
        std::string other;
        for (const auto &service : world.plan.services) {
            other = service.name != record.serviceName ? service.name : other;
        }
        world.clock().later(2s, [&world, record, other] {
            world.addUpstream(other.empty() ? record.serviceName : other, record.zoneName,
                              record.address);
        });
    }
}

auto killHosts(Emulation &world, const TroublePlan &trouble) -> void
{
    const auto power = trouble.how == "power";
    for (const auto index : pickHosts(world, trouble)) {
        auto &host = world.host(index);
        if (!power) {
            host.restart();
            continue;
        }
        host.kill(true);
        world.clock().later(trouble.lasts, [&host] { host.start(); });
    }
}

auto freezeHosts(Emulation &world, const TroublePlan &trouble) -> void
{
    for (const auto index : pickHosts(world, trouble)) {
        auto &host = world.host(index);
        host.freeze();
        world.clock().later(trouble.lasts, [&host] { host.wake(); });
    }
}

auto stopHosts(Emulation &world, const TroublePlan &trouble) -> void
{
    Duration wait { 0 };
    for (const auto index : pickHosts(world, trouble)) {
        world.clock().later(wait, [&world, index] { world.host(index).stop(true); });
        wait += trouble.gap;
    }
}

auto addHosts(Emulation &world, const TroublePlan &trouble) -> void
{
    for (std::size_t i = 0; i < trouble.count; ++i) {
        const auto &zones = world.plan.zones;
        world.addHost(trouble.zone.empty() ? zones[i % zones.size()].name : trouble.zone);
    }
}

auto cutZone(Emulation &world, const TroublePlan &trouble) -> void
{
    world.network().cutZone(trouble.zone, faultOf(trouble));
    for (const auto index : world.running("")) {
        if (world.seat(index).place.zone == trouble.zone) {
            world.disturbUpstream(index, trouble.lasts);
        }
    }
    world.clock().later(trouble.lasts,
                        [&world, zone = trouble.zone] { world.network().heal(zone); });
}

auto cutHosts(Emulation &world, const TroublePlan &trouble) -> void
{
    for (const auto index : pickHosts(world, trouble)) {
        const auto name = world.host(index).name();
        world.network().cutPlace(name, faultOf(trouble));
        world.clock().later(trouble.lasts, [&world, name] { world.network().heal(name); });
    }
}

auto stopStore(Emulation &world, const TroublePlan &trouble) -> void
{
    world.store().mode = modeOf(trouble);
    world.store().leasesLapse = trouble.how.find("lapse") != std::string::npos;
    world.clock().later(trouble.lasts, [&world] { world.store().mode = StoreMode::Answers; });
}

auto turnAwayHosts(Emulation &world, const TroublePlan &trouble) -> void
{
    for (const auto index : pickHosts(world, trouble)) {
        const auto name = world.host(index).name();
        world.store().turnedAway[name] = modeOf(trouble);
        world.clock().later(trouble.lasts,
                            [&world, name] { world.store().turnedAway.erase(name); });
    }
}

auto slowStore(Emulation &world, const TroublePlan &trouble) -> void
{
    const auto usual = world.store().answerTime;
    const auto slow = static_cast<double>(usual.count()) * trouble.factor;
    world.store().answerTime = Duration(static_cast<Duration::rep>(slow));
    world.clock().later(trouble.lasts, [&world, usual] { world.store().answerTime = usual; });
}

auto loseAnswers(Emulation &world, const TroublePlan &trouble) -> void
{
    world.store().answersLost = trouble.share;
    world.clock().later(trouble.lasts, [&world] { world.store().answersLost = 0; });
}

auto forgetHistory(Emulation &world, const TroublePlan & /*trouble*/) -> void
{
    world.store().forgetHistory();
}

auto publishRows(Emulation &world, const TroublePlan &trouble) -> void
{
    for (std::size_t i = 0; i < trouble.count; ++i) {
        world.clock().later(trouble.gap * static_cast<int>(i), [&world] { world.publish(); });
    }
}

auto moveCallers(Emulation &world, const TroublePlan &trouble) -> void
{
    const auto &zones = world.plan.zones;
    const auto from = trouble.zone.empty() ? zones.front().name : trouble.zone;
    const auto to = trouble.how.empty() ? zones.back().name : trouble.how;
    world.movedShare = trouble.share;
    world.movedCallers[from] = to;
    world.clock().later(trouble.lasts, [&world, from] { world.movedCallers.erase(from); });
}

auto burst(Emulation &world, const TroublePlan &trouble) -> void
{
    world.callers().factor = trouble.factor;
    world.clock().later(trouble.lasts, [&world] { world.callers().factor = 1; });
}

auto evacuateZone(Emulation &world, const TroublePlan &trouble) -> void
{
    world.evacuateZone(trouble.zone);
    const auto cold = trouble.how != "warm";
    world.clock().later(trouble.lasts,
                        [&world, zone = trouble.zone, cold] { world.endEvacuation(zone, cold); });
}

auto kinds() -> const std::map<std::string, Trouble> &
{
    static const std::map<std::string, Trouble> all {
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
        { "store-refuses-hosts", &turnAwayHosts },
        { "store-slow", &slowStore },
        { "store-loses-answers", &loseAnswers },
        { "store-forgets", &forgetHistory },
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

auto planTroubles(Emulation &world) -> void
{
    for (const auto &trouble : world.plan.troubles) {
        const auto &act = kinds().at(trouble.kind);
        world.clock().later(trouble.at, [&world, &act, trouble] { act(world, trouble); });
    }
}

} // namespace flamingograde::emulator
