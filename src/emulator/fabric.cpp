/// Network fabric that distributes callers' packets over hosts.
#include "emulator/fabric.h"

#include "core/packets/flowkey.h"
#include "core/rendezvous.h"
#include "emulator/emulatedhost.h"
#include "emulator/virtualclock.h"

#include <utility>

namespace flamingograde::emulator {

namespace {

using namespace std::chrono_literals;

constexpr Duration checkPeriod = 500ms;
constexpr std::uint32_t failedChecksMax = 2;

} // namespace

auto Fabric::add(EmulatedHost &host) -> void
{
    this->entries.push_back({ &host, false, failedChecksMax });
    const auto index = this->entries.size() - 1;
    this->byZone[host.place().zone].push_back(index);
    // Spread the checks of different hosts over the period.
    this->clock.later(checkPeriod * static_cast<int>(index % 10) / 10,
                      [this, index] { this->check(index); });
}

auto Fabric::check(std::size_t index) -> void
{
    auto &entry = this->entries[index];
    if (entry.host->passesHealthCheck()) {
        entry.failedChecks = 0;
        entry.inRotation = true;
    } else if (++entry.failedChecks >= failedChecksMax) {
        entry.inRotation = false;
    }
    this->clock.later(checkPeriod, [this, index] { this->check(index); });
}

auto Fabric::candidates(const std::string &zone) -> std::vector<EmulatedHost *>
{
    std::vector<EmulatedHost *> ready;
    std::vector<EmulatedHost *> all;
    for (const auto index : this->byZone[zone]) {
        const auto &entry = this->entries[index];
        all.push_back(entry.host);
        if (entry.inRotation) {
            ready.push_back(entry.host);
        }
    }
    if (!ready.empty()) {
        return ready.size() * 2 < all.size() ? all : ready;
    }
    for (const auto &entry : this->entries) {
        if (entry.inRotation) {
            ready.push_back(entry.host);
        }
    }
    return ready.empty() ? all : ready;
}

auto Fabric::choose(const std::string &zone, const FlowPacket &packet) -> EmulatedHost *
{
    EmulatedHost *best = nullptr;
    double bestScore = -1;
    const auto hash = FlowKey::of(packet.head).hash();
    for (auto *host : this->candidates(zone)) {
        const auto score = rendezvousScore(hash, { host->id().value() });
        if (score > bestScore) {
            best = host;
            bestScore = score;
        }
    }
    return best;
}

auto Fabric::send(const std::string &zone, const FlowPacket &packet) -> void
{
    auto *host = this->choose(zone, packet);
    if (host == nullptr) {
        ++this->unsent;
        return;
    }
    this->clock.later(this->toHost, [host, packet] { host->take(packet); });
}

} // namespace flamingograde::emulator
