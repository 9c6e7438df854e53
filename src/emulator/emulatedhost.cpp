/// Emulated entry host that runs the `Balancer` library in an emulated process.
#include "emulator/emulatedhost.h"

#include "core/overloaded.h"
#include "emulator/emulatedreader.h"
#include "emulator/virtualclock.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <utility>

namespace flamingograde::emulator {

namespace {

constexpr auto clockAtBoot = std::chrono::seconds(10); ///< Steady clocks of hosts differ.
constexpr auto wallClockStart = std::chrono::seconds(1'764'700'000);
constexpr std::size_t heldPacketsMax = 800; ///< Capacity of the receive buffer in packets.

auto isPeerEvent(const Event &event) -> bool
{
    return std::holds_alternative<PeerMessage>(event) || std::holds_alternative<PeerUp>(event)
           || std::holds_alternative<PeerDown>(event);
}

} // namespace

EmulatedHost::EmulatedHost(VirtualClock &virtualClock, PeerMesh &peers, EmulatedStore &platform,
                           Init settings, HostTimes hostTimes, HostCallbacks handlers)
    : clock(virtualClock), mesh(peers), store(platform), init(std::move(settings)),
      times(hostTimes),
      callbacks(std::move(handlers)), self { this->init.self.name, this->init.self.zoneName }
{
    MeshHost entry;
    entry.member = this->init.self;
    entry.place = this->self;
    entry.isDark = true;
    entry.give = [this](Event event) { this->handleEvent(std::move(event)); };
    this->mesh.set(this->id(), std::move(entry));
}

EmulatedHost::~EmulatedHost() = default;

auto EmulatedHost::clockNow() const -> Now
{
    const auto now = this->clock.now();
    const Duration up = now - this->bootedAt;
    return { MonoTime(clockAtBoot + up), WallTime(wallClockStart + now.time_since_epoch()) };
}

auto EmulatedHost::start() -> void
{
    this->bootedAt = this->mesh.at(this->id()).isDark ? this->clock.now() : this->bootedAt;
    this->state = HostLife::Starting;
    ++this->startCount;
    this->mesh.at(this->id()).isDark = false;
    this->clock.later(this->times.start,
                      [this, generation = ++this->currentGeneration] { this->begin(generation); });
}

auto EmulatedHost::begin(std::uint64_t generation) -> void
{
    if (generation != this->currentGeneration) {
        return;
    }
    this->state = HostLife::Running;
    this->init.seed += 1;
    this->init.self.incarnation =
            static_cast<std::uint64_t>(this->clockNow().wall.time_since_epoch().count());
    this->library = std::make_unique<Balancer>(this->init);
    this->reader = std::make_unique<EmulatedReader>(
            this->clock, this->store, this->self,
            [this](Event event) { this->handleEvent(std::move(event)); });
    auto &entry = this->mesh.at(this->id());
    entry.member = this->init.self;
    entry.isListening = true;
    this->busyUntil = this->clock.now();
    this->processStartedAt = this->clock.now();
    this->tick(generation);
}

auto EmulatedHost::tick(std::uint64_t generation) -> void
{
    if (generation != this->currentGeneration || this->state == HostLife::Off) {
        return;
    }
    if (this->state == HostLife::Running) {
        this->handleEvent(Tick {});
        this->steerHeldPackets();
    }
    this->clock.later(config::tickPeriod, [this, generation] { this->tick(generation); });
}

auto EmulatedHost::endProcess(bool power) -> void
{
    ++this->currentGeneration;
    this->state = HostLife::Off;
    this->disturbedAt = this->clock.now();
    this->heldEvents.clear();
    this->heldPackets.clear();
    if (this->reader != nullptr) {
        this->reader->act(StopReadingDirectory { false });
    }
    auto &entry = this->mesh.at(this->id());
    entry.isListening = false;
    entry.isFrozen = false;
    entry.isDark = power;
    if (power) {
        ++entry.boots;
    } else {
        this->mesh.end(this->id(), PeerLoss::Closed);
    }
}

auto EmulatedHost::kill(bool power) -> void
{
    this->endProcess(power);
}

auto EmulatedHost::restart() -> void
{
    this->endProcess(false);
    this->clock.later(this->times.restart, [this, generation = this->currentGeneration] {
        if (generation == this->currentGeneration) {
            this->start();
        }
    });
}

auto EmulatedHost::stop(bool restartAfterwards) -> void
{
    this->restartsAfterStop = restartAfterwards;
    this->handleEvent(StopRequested {});
}

auto EmulatedHost::freeze() -> void
{
    this->state = HostLife::Frozen;
    this->mesh.at(this->id()).isFrozen = true;
}

auto EmulatedHost::wake() -> void
{
    if (this->state != HostLife::Frozen) {
        return;
    }
    this->state = HostLife::Running;
    this->mesh.at(this->id()).isFrozen = false;
    for (auto &event : std::exchange(this->heldEvents, {})) {
        this->handleEvent(std::move(event));
    }
    this->steerHeldPackets();
}

auto EmulatedHost::holdsPackets() const -> bool
{
    const auto isInStartup = this->clock.now() - this->processStartedAt < config::packetHoldTimeMax;
    return this->state == HostLife::Frozen || (isInStartup && !this->library->hasDirectory());
}

auto EmulatedHost::steerHeldPackets() -> void
{
    if (this->state != HostLife::Running || this->holdsPackets()) {
        return;
    }
    for (const auto &held : std::exchange(this->heldPackets, {})) {
        this->steer(held.packet, held.arrived);
    }
}

auto EmulatedHost::passesHealthCheck() const -> bool
{
    return this->state == HostLife::Running && this->library->isServing();
}

auto EmulatedHost::handleEvent(Event event) -> void
{
    if (this->state == HostLife::Frozen) {
        this->heldEvents.push_back(std::move(event));
        return;
    }
    if (this->state != HostLife::Running) {
        return;
    }
    if (this->times.message == Duration(0)) {
        this->handle(std::move(event));
        return;
    }
    const auto cost = isPeerEvent(event) ? this->times.message : Duration(0);
    this->scheduleWork(cost, [this, event = std::move(event)] {
        if (this->state == HostLife::Frozen) {
            this->heldEvents.push_back(event);
        } else {
            this->handle(event);
        }
    });
}

auto EmulatedHost::handle(Event event) -> void
{
    const auto generation = this->currentGeneration;
    const auto actions = this->library->handle(this->clockNow(), std::move(event));
    for (const auto &action : actions) {
        if (generation == this->currentGeneration) {
            this->perform(action);
        }
    }
}

auto EmulatedHost::perform(const Action &action) -> void
{
    std::visit(
            Overloaded {
                    [&](const ConnectPeer &it) { this->mesh.connect(this->id(), it.host); },
                    [&](const ConnectSeed &it) { this->mesh.connectSeed(this->id(), it.address); },
                    [&](const SendPeer &it) { this->mesh.send(this->id(), it); },
                    [&](const SendPeers &it) {
                        for (const auto host : it.hosts) {
                            this->mesh.send(this->id(), { host, it.message });
                        }
                    },
                    [&](const DropPeer &it) { this->mesh.drop(this->id(), it.host); },
                    [&](const ReadDirectory &it) { this->reader->act(it); },
                    [&](const StopReadingDirectory &it) { this->reader->act(it); },
                    [&](const Log &it) { this->callbacks.onLog(it); },
                    [&](const StopReady &) {
                        this->endProcess(false);
                        if (this->restartsAfterStop) {
                            this->clock.later(this->times.restart,
                                              [this, of = this->currentGeneration] {
                                                  if (of == this->currentGeneration) {
                                                      this->start();
                                                  }
                                              });
                        }
                    },
                    [](const auto &) {},
            },
            action);
}

auto EmulatedHost::take(const FlowPacket &packet) -> void
{
    if (this->state != HostLife::Running && this->state != HostLife::Frozen) {
        return;
    }
    this->scheduleWork(this->times.packet, [this, packet, arrived = this->clock.now()] {
        if (!this->holdsPackets()) {
            this->steer(packet, arrived);
        } else if (this->heldPackets.size() < heldPacketsMax) {
            this->heldPackets.push_back({ packet, arrived });
        }
    });
}

auto EmulatedHost::scheduleWork(Duration cost, std::function<void()> task) -> void
{
    this->busyUntil = std::max(this->busyUntil, this->clock.now()) + cost;
    this->clock.later(this->busyUntil - this->clock.now(),
                      [this, task = std::move(task), generation = this->currentGeneration] {
                          if (generation == this->currentGeneration) {
                              task();
                          }
                      });
}

auto EmulatedHost::steer(const FlowPacket &packet, MonoTime arrived) -> void
{
    ++this->packetCount;
    this->heads.assign(1, packet.head);
    this->heads.front().waited = this->clock.now() - arrived;
    this->library->steer(this->clockNow(), this->heads, this->decisions);
    const auto &decision = this->decisions.front();
    if (decision.verdict == PacketVerdict::Reset) {
        this->reset(packet, decision.reason);
    }
    for (std::size_t i = 0; i < decision.targetCount; ++i) {
        auto sent = packet;
        sent.head.cookie = decision.targets[i].cookie;
        this->callbacks.toUpstream(decision.targets[i], sent);
    }
}

auto EmulatedHost::reset(const FlowPacket &packet, PacketReason reason) -> void
{
    FlowPacket answer;
    answer.head.service = packet.head.service;
    answer.head.caller = packet.head.caller;
    answer.head.flags.resets = true;
    this->callbacks.toCaller(answer, reason);
}

} // namespace flamingograde::emulator
