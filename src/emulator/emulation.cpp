/// Hosts, upstreams, callers, fabric and store of one emulated day.
#include "emulator/emulation.h"

#include "emulator/hostsettings.h"
#include "emulator/troubles.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingograde::emulator {

namespace {

using namespace std::chrono_literals;

constexpr Duration heartbeat = 1200ms;
constexpr Duration housekeeping = 100ms;
constexpr Duration coldRateWindow = 1s; ///< Openings at a cold upstream are counted over this.
constexpr Duration coldRestartDelay = 1500ms; ///< An overloaded cold upstream restarts after this.
constexpr Duration evacuationRetry = 500ms;   ///< Until a refused order is sent again.
constexpr Duration contact =
        4s; ///< A fault on a host or an upstream excuses what happens within this.
constexpr std::uint32_t headBytes = 44;           ///< Before the data, the instance included.
constexpr std::uint32_t callerNet = 0x64400001;   ///< 100.64.0.1.
constexpr std::uint32_t upstreamNet = 0x0a800000; ///< 10.128.0.0.
constexpr std::uint16_t upstreamPort = 8080;

} // namespace

Emulation::Emulation(DayPlan day)
    : plan(std::move(day)), random(this->plan.seed), links(this->time, this->plan.seed + 1),
      platform(this->time, this->links, this->plan.seed + 2), mesh(this->time, this->links),
      fabric(this->time),
      pool(this->time, callerNet, this->plan.seed + 3, this->callersSurroundings())
{
    this->links.loss = this->plan.packetLoss;
}

Emulation::~Emulation() = default;

auto Emulation::settingsOf(const std::string &zone, std::size_t number) -> Init
{
    auto init = hostSettings(zone, number);
    init.flowsTracked = config::flowsTracked;
    init.packetPolicy = this->plan.policy;
    init.coldPolicy = this->plan.coldPolicy;
    init.coldExcess = this->plan.coldExcess;
    init.coldSlack = this->plan.coldSlack;
    init.stopTimeout = 5s;
    init.seed = this->random();
    return init;
}

auto Emulation::addHost(const std::string &zone) -> std::size_t
{
    const auto number = this->hosts.size();
    HostSurroundings around;
    around.toUpstream = [this, number](const PacketTarget &target, const FlowPacket &packet) {
        this->toUpstream(*this->hosts[number], target, packet);
    };
    around.toCaller = [this](const FlowPacket &packet, PacketReason reason) {
        this->toCaller(packet, reason);
    };
    around.onLog = [this](const Log &log) { ++this->logs[log.event]; };
    this->hosts.push_back(std::make_unique<EmulatedHost>(this->time, this->mesh, this->platform,
                                                         this->settingsOf(zone, number),
                                                         this->plan.hosts, std::move(around)));
    this->fabric.add(*this->hosts.back());
    this->hosts.back()->start();
    return number;
}

auto Emulation::begin() -> void
{
    this->publish();
    for (const auto &service : this->plan.services) {
        for (const auto &[zone, count] : service.upstreams) {
            for (std::size_t i = 0; i < count; ++i) {
                this->addUpstream(service.name, zone);
            }
        }
    }
    for (const auto &zone : this->plan.zones) {
        for (std::size_t i = 0; i < zone.hosts; ++i) {
            this->addHost(zone.name);
        }
    }
    this->housekeep();
    this->time.run(this->plan.lead);
}

auto Emulation::beginLoad() -> void
{
    this->judge.begin(this->time.now());
    this->hasLoadStarted = true;
    std::vector<const LoadKind *> kinds;
    for (const auto &row : this->plan.rows) {
        kinds.push_back(&row.load);
    }
    for (const auto &zone : this->plan.zones) {
        this->pool.begin(zone.name, zone.requestsPerSecond, kinds);
    }
}

auto Emulation::play() -> DayResult
{
    this->begin();
    planTroubles(*this);
    this->beginLoad();
    this->time.run(this->plan.length);
    this->pool.stop();
    this->time.run(6s); // The longest deadline.
    return this->result();
}

auto Emulation::rowsNow() -> PacketRows
{
    PacketRows rows;
    rows.version = ++this->rowsVersion;
    for (const auto &planned : this->plan.rows) {
        PacketRow row;
        row.name = planned.load.name;
        row.id = RowId::ofName(row.name);
        row.address = planned.load.address;
        row.idempotent = planned.load.idempotent;
        row.deadline = planned.load.deadline;
        row.target = planned.load.target;
        for (const auto &[service, weight] : planned.shares) {
            row.shares.push_back({ ServiceId::ofName(service), service, weight });
        }
        rows.rows.push_back(std::move(row));
    }
    for (const auto &service : this->plan.services) {
        if (service.coldPerSecond > 0) {
            rows.coldLimits.push_back({ ServiceId::ofName(service.name), service.name,
                                        service.coldTime, service.coldPerSecond });
        }
    }
    return rows;
}

auto Emulation::publish() -> void
{
    this->platform.publish(this->rowsNow());
}

auto Emulation::addUpstream(const std::string &service, const std::string &zone, Address address)
        -> std::size_t
{
    const auto index = this->seats.size();
    auto seat = std::make_unique<UpstreamSeat>();
    auto &record = seat->record;
    const auto &planned = this->servicePlanOf(service);
    record.instance = InstanceId(this->random() >> 24U);
    record.name = "upstream-" + std::to_string(index);
    record.id = UpstreamId::ofName(record.name);
    record.serviceName = service;
    record.service = ServiceId::ofName(service);
    record.zoneName = zone;
    record.zone = ZoneId::ofName(zone);
    record.slots = planned.slots;
    record.warmup = planned.coldTime;
    record.address =
            address.isValid()
                    ? address
                    : Address { upstreamNet + static_cast<std::uint32_t>(index) + 1, upstreamPort };
    seat->place = { record.name, zone };
    seat->process = std::make_unique<EmulatedUpstream>(this->time, record,
                                                       this->surroundingsOf(index), this->random());
    seat->process->queueMax = planned.queue;
    seat->process->coldUntil = this->time.now() + planned.coldTime;
    this->seatAt[record.address] = index;
    this->seats.push_back(std::move(seat));
    this->seats.back()->isBeating = true;
    this->time.later(Duration(static_cast<Duration::rep>(this->random() % 300000)),
                     [this, index] { this->beat(index); });
    return index;
}

auto Emulation::surroundingsOf(std::size_t index) -> UpstreamSurroundings
{
    UpstreamSurroundings around;
    around.toCaller = [this](const FlowPacket &packet) { this->toCaller(packet, std::nullopt); };
    around.onRun = [this](std::uint64_t request) { this->judge.noteRun(request, false); };
    around.onOpening = [this, index](const FlowPacket &packet) {
        const auto &seat = *this->seats[index];
        const auto row = std::find_if(
                this->plan.rows.begin(), this->plan.rows.end(),
                [&](const RowPlan &it) { return it.load.address == packet.head.service; });
        const auto isAllowed =
                row != this->plan.rows.end()
                && std::any_of(row->shares.begin(), row->shares.end(), [&](const auto &share) {
                       return share.first == seat.record.serviceName;
                   });
        this->judge.day.wrongService += isAllowed ? 0 : 1;
        this->judgeOpening(seat);
        this->judgeColdOpening(index);
    };
    return around;
}

auto Emulation::judgeOpening(const UpstreamSeat &seat) -> void
{
    const auto isInTouch =
            seat.through != nullptr && this->time.now() - seat.through->disturbedAt > contact;
    if (isInTouch) {
        this->judgeEvacuation(seat);
    }
    if (!seat.leftAt || !isInTouch) {
        return;
    }
    const Duration late = this->time.now() - *seat.leftAt;
    this->judge.day.latestOpening = std::max(this->judge.day.latestOpening, late);
    this->judge.day.lateOpenings += late > this->plan.drainBound ? 1 : 0;
}

auto Emulation::judgeEvacuation(const UpstreamSeat &seat) -> void
{
    const auto found = this->evacuatedAt.find(seat.place.zone);
    if (found == this->evacuatedAt.end()) {
        return;
    }
    const Duration late = this->time.now() - found->second;
    this->judge.day.latestEvacuated = std::max(this->judge.day.latestEvacuated, late);
    this->judge.day.evacuatedOpenings += late > this->plan.evacuateBound ? 1 : 0;
}

auto Emulation::judgeColdOpening(std::size_t index) -> void
{
    auto &seat = *this->seats[index];
    const auto &service = this->servicePlanOf(seat.record.serviceName);
    const auto now = this->time.now();
    if (service.coldPerSecond <= 0 || now >= seat.process->coldUntil) {
        return;
    }
    ++this->judge.day.coldOpenings;
    auto &openings = seat.coldOpenings;
    openings.push_back(now);
    while (now - openings.front() >= coldRateWindow) {
        openings.pop_front();
    }
    const auto bound = service.coldPerSecond * this->plan.coldExcess + this->plan.coldSlack;
    if (static_cast<double>(openings.size()) <= bound) {
        return;
    }
    ++this->judge.day.coldOverruns;
    openings.clear();
    this->time.later(Duration(0), [this, index] {
        if (this->seats[index]->process->life() == UpstreamLife::Running) {
            ++this->judge.day.coldFailures;
            this->restartUpstream(index, UpstreamLife::Crashed, coldRestartDelay);
        }
    });
}

auto Emulation::servicePlanOf(const std::string &service) const -> const ServicePlan &
{
    return *std::find_if(this->plan.services.begin(), this->plan.services.end(),
                         [&](const ServicePlan &it) { return it.name == service; });
}

auto Emulation::evacuateZone(const std::string &zone) -> void
{
    if (!this->platform.evacuate(zone)) {
        this->time.later(evacuationRetry, [this, zone] { this->evacuateZone(zone); });
        return;
    }
    this->evacuatedAt.emplace(zone, this->time.now());
}

auto Emulation::endEvacuation(const std::string &zone, bool cold) -> void
{
    if (!this->platform.endEvacuation(zone)) {
        this->time.later(evacuationRetry, [this, zone, cold] { this->endEvacuation(zone, cold); });
        return;
    }
    this->evacuatedAt.erase(zone);
    for (const auto &seat : this->seats) {
        if (cold && seat->place.zone == zone) {
            const auto coldTime = this->servicePlanOf(seat->record.serviceName).coldTime;
            seat->process->coldUntil = this->time.now() + coldTime;
        }
    }
}

auto Emulation::beat(std::size_t index) -> void
{
    auto &seat = *this->seats[index];
    seat.isBeating = seat.reports;
    if (!seat.reports) {
        return;
    }
    const auto cold = seat.process->coldUntil - this->time.now();
    seat.record.warmup = cold > Duration(0) ? Duration(cold) : Duration(0);
    seat.stored = this->platform.write(seat.place, seat.record);
    if (seat.stored && seat.record.state == UpstreamState::Draining && !seat.leftAt) {
        seat.leftAt = this->time.now();
    }
    this->time.later(heartbeat, [this, index] { this->beat(index); });
}

auto Emulation::drainUpstream(std::size_t index, Duration extra) -> void
{
    auto &seat = *this->seats[index];
    seat.record.state = UpstreamState::Draining;
    seat.process->drain();
    if (this->platform.write(seat.place, seat.record)) {
        seat.leftAt = this->time.now();
    }
    this->time.later(this->plan.drainBound + extra, [this, index] {
        auto &leaving = *this->seats[index];
        if (!leaving.leftAt) {
            this->drainUpstream(index); // The store has not taken it yet.
            return;
        }
        leaving.reports = false;
        leaving.disturbedAt = this->time.now();
        leaving.process->fail(UpstreamLife::Crashed);
        this->platform.remove(leaving.place, leaving.record.instance);
    });
}

auto Emulation::failUpstream(std::size_t index, UpstreamLife kind) -> void
{
    auto &seat = *this->seats[index];
    seat.reports = false;
    seat.disturbedAt = this->time.now();
    seat.process->fail(kind);
}

auto Emulation::restartUpstream(std::size_t index, UpstreamLife kind, Duration after) -> void
{
    this->failUpstream(index, kind);
    this->time.later(after, [this, index] {
        auto &seat = *this->seats[index];
        const auto coldTime = this->servicePlanOf(seat.record.serviceName).coldTime;
        seat.process->restart(this->time.now() + coldTime);
        seat.record.born = WallTime(this->time.now().time_since_epoch());
        seat.disturbedAt = this->time.now();
        seat.reports = true;
        if (!seat.isBeating) {
            this->beat(index);
        }
    });
}

auto Emulation::disturbUpstream(std::size_t index, Duration duration) -> void
{
    auto &seat = *this->seats[index];
    const auto until = this->time.now() + duration;
    seat.disturbedAt = std::max(seat.disturbedAt.value_or(until), until);
}

auto Emulation::accumulateColdTime() -> void
{
    for (const auto &seat : this->seats) {
        const auto isCold = this->time.now() < seat->process->coldUntil
                            && seat->process->life() == UpstreamLife::Running
                            && this->servicePlanOf(seat->record.serviceName).coldPerSecond > 0;
        const std::chrono::duration<double> passed =
                this->hasLoadStarted && isCold ? housekeeping : Duration(0);
        this->judge.day.coldSeconds += passed.count();
    }
}

auto Emulation::housekeep() -> void
{
    this->platform.expire();
    this->accumulateColdTime();
    this->mesh.review();
    for (const auto &host : this->hosts) {
        if (host->life() != HostLife::Running || !this->platform.isStableFor(host->place())) {
            host->disturbedAt = this->time.now();
        }
    }
    this->time.later(housekeeping, [this] { this->housekeep(); });
}

auto Emulation::running(const std::string &service) const -> std::vector<std::size_t>
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < this->seats.size(); ++i) {
        const auto &seat = *this->seats[i];
        const auto isAtWork = seat.process->life() == UpstreamLife::Running
                              && seat.record.state == UpstreamState::Active;
        if (isAtWork && (service.empty() || seat.record.serviceName == service)) {
            found.push_back(i);
        }
    }
    return found;
}

auto Emulation::callersSurroundings() -> PoolSurroundings
{
    PoolSurroundings around;
    around.toFabric = [this](std::size_t caller, const FlowPacket &packet) {
        this->sendToFabric(caller, packet);
    };
    around.onEnd = [this](std::size_t caller, const RequestResult &result) {
        this->judge.take(this->pool.zoneOf(caller), result);
    };
    return around;
}

auto Emulation::sendToFabric(std::size_t caller, const FlowPacket &packet) -> void
{
    constexpr std::size_t hundred = 100;
    const auto &home = this->pool.zoneOf(caller);
    const auto moved = this->movedCallers.find(home);
    const auto share = static_cast<double>(caller % hundred) / hundred;
    const auto isMoved = moved != this->movedCallers.end() && share < this->movedShare;
    this->fabric.send(isMoved ? moved->second : home, packet);
}

auto Emulation::toUpstream(const EmulatedHost &host, const PacketTarget &target,
                           const FlowPacket &packet) -> void
{
    const auto found = this->seatAt.find(target.address);
    if (found == this->seatAt.end()) {
        return;
    }
    auto &seat = *this->seats[found->second];
    if (seat.place.zone != host.place().zone) {
        this->packetBytesBetweenZones += headBytes + packet.head.dataBytes;
    }
    this->links.send(host.place(), seat.place, [&seat, &host, instance = target.instance, packet] {
        seat.through = &host;
        seat.process->take(instance, packet);
    });
}

auto Emulation::toCaller(const FlowPacket &packet, std::optional<PacketReason> resetBy) -> void
{
    this->links.sendToCaller([this, packet, resetBy] {
        auto *caller = this->pool.find(packet.head.caller.ip);
        if (caller == nullptr) {
            return;
        }
        // A reset of an open flow is a fault only while its upstream holds it undisturbed.
        const auto isHeld =
                std::any_of(this->seats.begin(), this->seats.end(), [&](const auto &it) {
                    return it->process->holds(packet.head.caller, packet.head.service)
                           && (!it->disturbedAt || this->time.now() - *it->disturbedAt > contact);
                });
        if (caller->take(packet, resetBy.has_value()) && isHeld) {
            ++this->judge.day.brokenFlows;
            ++this->judge.day.brokenBy[std::string(toString(*resetBy))];
        }
    });
}

auto Emulation::logCount(LogEvent event) const -> std::uint64_t
{
    const auto found = this->logs.find(event);
    return found == this->logs.end() ? 0 : found->second;
}

auto Emulation::result() -> DayResult
{
    auto day = this->judge.day;
    day.storeCalls = this->platform.calls;
    day.storeRefused = this->platform.refusedCalls;
    day.peerMessages = this->mesh.messages;
    day.peerBytesBetweenZones = this->mesh.bytesBetweenZones;
    day.packetBytesBetweenZones = this->packetBytesBetweenZones;
    for (const auto &[host, bytes] : this->mesh.bytesSent) {
        day.peerBytes += bytes;
    }
    std::map<std::string, std::vector<double>> runs;
    for (const auto &seat : this->seats) {
        day.sheds += seat->process->shedCount;
        if (seat->process->life() == UpstreamLife::Running) {
            runs[seat->record.serviceName].push_back(static_cast<double>(seat->process->runCount));
        }
    }
    for (const auto &[service, counts] : runs) {
        double sum = 0;
        for (const auto count : counts) {
            sum += count;
        }
        const auto mean = sum / static_cast<double>(counts.size());
        for (const auto count : counts) {
            day.imbalance = std::max(day.imbalance, mean > 0 ? std::abs(count / mean - 1) : 0);
        }
    }
    return day;
}

} // namespace flamingograde::emulator
