/// An entry host: the deciding library in an emulated process.
#include "emulator/emulatedhost.h"

#include "core/overloaded.h"
#include "emulator/virtualclock.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <utility>

namespace flamingograde::emulator {

namespace {

constexpr auto wallBegin = std::chrono::seconds(1'764'700'000);
constexpr std::size_t waitingPacketsMax = 800; ///< What a system's buffer holds.

auto isOfPeer(const Event &event) -> bool
{
    return std::holds_alternative<PeerMessage>(event) || std::holds_alternative<PeerUp>(event)
           || std::holds_alternative<PeerDown>(event);
}

} // namespace

EmulatedHost::EmulatedHost(VirtualClock &owner, PeerMesh &peers, EmulatedStore &platform,
                           Init settings, HostTimes costs, HostSurroundings around)
    : clock(owner), mesh(peers), store(platform), init(std::move(settings)), times(costs),
      surroundings(std::move(around)), self { this->init.self.name, this->init.self.zoneName }
{
    this->mesh.set(this->id(), { this->init.self, this->self, false, true,
                                 [this](Event event) { this->give(std::move(event)); } });
}

auto EmulatedHost::clockNow() const -> Now
{
    const auto mono = this->clock.now();
    return { mono, WallTime(wallBegin + mono.time_since_epoch()) };
}

auto EmulatedHost::start() -> void
{
    this->state = HostLife::Starting;
    ++this->startCount;
    this->mesh.at(this->id()).isDark = false;
    this->mesh.end(this->id(), PeerLoss::Closed); // Others' connections from before a power cut.
    this->clock.later(this->times.start, [this, life = ++this->lives] { this->begin(life); });
}

auto EmulatedHost::begin(std::uint64_t life) -> void
{
    if (life != this->lives) {
        return;
    }
    this->state = HostLife::Running;
    this->init.seed += 1;
    this->init.self.incarnation =
            static_cast<std::uint64_t>(this->clockNow().wall.time_since_epoch().count());
    this->library = std::make_unique<Balancer>(this->init);
    auto &entry = this->mesh.at(this->id());
    entry.member = this->init.self;
    entry.listens = true;
    this->busyUntil = this->clock.now();
    this->begunAt = this->clock.now();
    this->tick(life);
}

auto EmulatedHost::tick(std::uint64_t life) -> void
{
    if (life != this->lives || this->state == HostLife::Off) {
        return;
    }
    if (this->state == HostLife::Running) {
        this->give(Tick {});
        this->steerWaiting();
    }
    this->clock.later(config::tickPeriod, [this, life] { this->tick(life); });
}

auto EmulatedHost::endProcess(bool power) -> void
{
    ++this->lives;
    this->state = HostLife::Off;
    this->waitingEvents.clear();
    this->waitingPackets.clear();
    auto &entry = this->mesh.at(this->id());
    entry.listens = false;
    entry.isDark = power;
    if (!power) {
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
    this->clock.later(this->times.restart, [this, life = this->lives] {
        if (life == this->lives) {
            this->start();
        }
    });
}

auto EmulatedHost::stop(bool again) -> void
{
    this->startsAgain = again;
    this->give(StopRequested {});
}

auto EmulatedHost::freeze() -> void
{
    this->state = HostLife::Frozen;
    this->mesh.at(this->id()).isDark = true;
}

auto EmulatedHost::wake() -> void
{
    if (this->state != HostLife::Frozen) {
        return;
    }
    this->state = HostLife::Running;
    this->mesh.at(this->id()).isDark = false;
    for (auto &event : std::exchange(this->waitingEvents, {})) {
        this->give(std::move(event));
    }
    this->steerWaiting();
}

auto EmulatedHost::holdsPackets() const -> bool
{
    const auto young = this->clock.now() - this->begunAt < config::packetHoldTimeMax;
    return this->state == HostLife::Frozen || (young && !this->library->isServing());
}

auto EmulatedHost::steerWaiting() -> void
{
    if (this->state != HostLife::Running || this->holdsPackets()) {
        return;
    }
    for (const auto &packet : std::exchange(this->waitingPackets, {})) {
        this->steer(packet);
    }
}

auto EmulatedHost::answersReady() const -> bool
{
    return this->state == HostLife::Running && this->library->isServing();
}

auto EmulatedHost::give(Event event) -> void
{
    if (this->state == HostLife::Frozen) {
        this->waitingEvents.push_back(std::move(event));
        return;
    }
    if (this->state != HostLife::Running) {
        return;
    }
    if (this->times.message == Duration(0)) {
        this->handle(std::move(event));
        return;
    }
    const auto cost = isOfPeer(event) ? this->times.message : Duration(0);
    this->afterWork(cost, [this, event = std::move(event)] {
        if (this->state == HostLife::Frozen) {
            this->waitingEvents.push_back(event);
        } else {
            this->handle(event);
        }
    });
}

auto EmulatedHost::handle(Event event) -> void
{
    const auto life = this->lives;
    const auto actions = this->library->handle(this->clockNow(), std::move(event));
    for (const auto &action : actions) {
        if (life == this->lives) {
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
                    [&](const ReadDirectory &it) {
                        const auto life = this->lives;
                        const auto number = ++this->reads;
                        this->store.read(this->self, it, [this, life, number](Event event) {
                            if (life == this->lives && number == this->reads) {
                                this->give(std::move(event));
                            }
                        });
                    },
                    [&](const Log &it) { this->surroundings.onLog(it); },
                    [&](const StopReady &) {
                        this->endProcess(false);
                        if (this->startsAgain) {
                            this->clock.later(this->times.restart, [this, of = this->lives] {
                                if (of == this->lives) {
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
    this->afterWork(this->times.packet, [this, packet] {
        if (!this->holdsPackets()) {
            this->steer(packet);
        } else if (this->waitingPackets.size() < waitingPacketsMax) {
            this->waitingPackets.push_back(packet);
        }
    });
}

auto EmulatedHost::afterWork(Duration cost, std::function<void()> task) -> void
{
    this->busyUntil = std::max(this->busyUntil, this->clock.now()) + cost;
    this->clock.later(this->busyUntil - this->clock.now(),
                      [this, task = std::move(task), life = this->lives] {
                          if (life == this->lives) {
                              task();
                          }
                      });
}

auto EmulatedHost::steer(const FlowPacket &packet) -> void
{
    ++this->packetCount;
    this->heads.assign(1, packet.head);
    this->library->steer(this->clockNow(), this->heads, this->decisions);
    const auto &decision = this->decisions.front();
    if (decision.verdict == PacketVerdict::Reset) {
        this->reset(packet, decision.reason);
    }
    for (std::size_t i = 0; i < decision.targetCount; ++i) {
        auto sent = packet;
        sent.head.cookie = decision.targets[i].cookie;
        this->surroundings.toUpstream(decision.targets[i], sent);
    }
}

auto EmulatedHost::reset(const FlowPacket &packet, PacketReason reason) -> void
{
    FlowPacket answer;
    answer.head.service = packet.head.service;
    answer.head.caller = packet.head.caller;
    answer.head.flags.resets = true;
    this->surroundings.toCaller(answer, reason);
}

} // namespace flamingograde::emulator
