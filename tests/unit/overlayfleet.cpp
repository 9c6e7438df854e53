/// Starts emulated hosts, connects them by a mesh, and counts their log lines.
#include "overlayfleet.h"

#include "emulator/hostsettings.h"
#include "packetboard.h"

#include <flamingograde/packetrows.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t wideHosts = 3;
constexpr std::uint32_t wideMbps = 200;
constexpr std::uint32_t narrowMbps = 20;
constexpr Duration reviewPeriod = 100ms;
constexpr Duration startSpread = 300ms;

} // namespace

OverlayFleet::OverlayFleet(std::size_t zones, std::size_t hostsPerZone, std::uint64_t initialSeed)
    : seed(initialSeed)
{
    this->network.betweenZones = 1400us;
    this->publish();
    for (std::size_t zone = 1; zone <= zones; ++zone) {
        for (std::size_t i = 0; i < hostsPerZone; ++i) {
            this->add("zone-" + std::to_string(zone));
        }
    }
    this->reviewConnections();
}

OverlayFleet::~OverlayFleet() = default;

auto OverlayFleet::add(const std::string &zone) -> std::size_t
{
    const auto number = this->hosts.size();
    auto init = emulator::hostSettings(zone, number);
    init.self.linkMbps = this->hostsOf(zone).size() < wideHosts ? wideMbps : narrowMbps;
    init.seed = this->seed * 1000 + number;
    emulator::HostCallbacks surroundings;
    surroundings.onLog = [this, number](const Log &log) {
        ++this->logs[log.event];
        ++this->lines[number];
    };
    this->hosts.push_back(std::make_unique<emulator::EmulatedHost>(
            this->clock, this->mesh, this->store, std::move(init), emulator::HostTimes {},
            std::move(surroundings)));
    this->zoneOf.push_back(zone);
    const auto startDelay = (number * 7919) % static_cast<std::size_t>(startSpread.count());
    this->clock.later(Duration(static_cast<Duration::rep>(startDelay)),
                      [this, number] { this->hosts[number]->start(); });
    return number;
}

auto OverlayFleet::reviewConnections() -> void
{
    this->mesh.checkConnections();
    this->clock.later(reviewPeriod, [this] { this->reviewConnections(); });
}

auto OverlayFleet::run(Duration duration) -> void
{
    this->clock.run(duration);
}

auto OverlayFleet::cyclePower(std::size_t step, Duration duration) -> void
{
    for (std::size_t i = 0; i < this->hosts.size(); i += step) {
        this->hosts[i]->kill(true);
    }
    this->run(duration);
    for (std::size_t i = 0; i < this->hosts.size(); i += step) {
        this->hosts[i]->start();
    }
}

auto OverlayFleet::publish() -> void
{
    PacketRows rows;
    rows.version = ++this->version;
    rows.rows = { packetRow("feed", feedAddress, "live") };
    this->store.publish(rows);
}

auto OverlayFleet::isUpToDate() const -> bool
{
    const auto newest = this->store.revision().number;
    return std::all_of(this->hosts.begin(), this->hosts.end(), [newest](const auto &host) {
        return host->life() != emulator::HostLife::Running
               || host->balancer().stats().directoryRevision == newest;
    });
}

auto OverlayFleet::publishAndWait() -> std::optional<Duration>
{
    this->publish();
    return this->clock.runUntil([this] { return this->isUpToDate(); }, 20s);
}

auto OverlayFleet::hostsOf(const std::string &zone) const -> std::vector<std::size_t>
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < this->zoneOf.size(); ++i) {
        if (this->zoneOf[i] == zone) {
            found.push_back(i);
        }
    }
    return found;
}

auto OverlayFleet::connectionCount(std::size_t index) const -> std::size_t
{
    const auto dump = nlohmann::json::parse(this->hosts[index]->balancer().dump());
    const auto &members = dump.at("members");
    return static_cast<std::size_t>(
            std::count_if(members.begin(), members.end(), [](const auto &member) {
                return member.at("connected").template get<bool>();
            }));
}

auto OverlayFleet::knownHostCount(std::size_t index) const -> std::size_t
{
    const auto dump = nlohmann::json::parse(this->hosts[index]->balancer().dump());
    const auto &members = dump.at("members");
    return static_cast<std::size_t>(
            std::count_if(members.begin(), members.end(),
                          [](const auto &member) { return member.at("state") != "dead"; }));
}

auto OverlayFleet::logCount(LogEvent event) const -> std::uint64_t
{
    const auto found = this->logs.find(event);
    return found == this->logs.end() ? 0 : found->second;
}

auto OverlayFleet::maxLinesPerHost() const -> std::uint64_t
{
    std::uint64_t most = 0;
    for (const auto &[host, count] : this->lines) {
        most = std::max(most, count);
    }
    return most;
}

auto OverlayFleet::clearLogs() -> void
{
    this->logs.clear();
    this->lines.clear();
}

} // namespace flamingograde
