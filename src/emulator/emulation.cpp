/// Emulates one day with its hosts, upstreams, callers, fabric and store.
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

constexpr Duration heartbeatInterval = 1200ms;
constexpr Duration housekeepingInterval = 100ms;
/// Window over which openings at a cold upstream are counted.
constexpr Duration coldRateWindow = 1s;
constexpr Duration coldRestartDelay = 1500ms; ///< Restart time of an overloaded cold upstream.
constexpr Duration evacuationRetry = 500ms;   ///< Delay before a refused order is retried.
/// How long after the store's return operators write again what it lost.
constexpr Duration operatorRewriteDelay = 300ms;
/// Openings and resets are not judged for this long after a fault of the host or upstream.
constexpr Duration disturbanceWindow = 4s;
constexpr std::uint32_t packetHeadBytes = 44; ///< Overhead before the data, with the instance.
constexpr std::uint32_t callerNetwork = 0x64400001;   ///< 100.64.0.1.
constexpr std::uint32_t upstreamNetwork = 0x0a800000; ///< 10.128.0.0.
constexpr std::uint16_t upstreamPort = 8080;

} // namespace

Emulation::Emulation(DayPlan day)
    : plan(std::move(day)), random(this->plan.seed), links(this->time, this->plan.seed + 1),
      platform(this->time, this->links, this->plan.seed + 2), mesh(this->time, this->links),
      fabric(this->time),
      pool(this->time, callerNetwork, this->plan.seed + 3, this->makeCallerPoolCallbacks())
{
    this->links.loss = this->plan.packetLoss;
    this->platform.staleBy = this->plan.staleBy;
}

Emulation::~Emulation() = default;

auto Emulation::settingsOf(const std::string &zone, std::size_t number) -> Init
{
    auto init = hostSettings(zone, number, this->plan.seeds);
    init.flowsTracked = config::flowsTracked;
    init.packetPolicy = this->plan.policy;
    init.admitsByLoad = this->plan.admitsByLoad;
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
    HostCallbacks handlers;
    handlers.toUpstream = [this, number](const PacketTarget &target, const FlowPacket &packet) {
        this->toUpstream(*this->hosts[number], target, packet);
    };
    handlers.toCaller = [this](const FlowPacket &packet, PacketReason reason) {
        this->toCaller(packet, reason);
    };
    handlers.onLog = [this](const Log &log) { ++this->logs[log.event]; };
    this->hosts.push_back(std::make_unique<EmulatedHost>(this->time, this->mesh, this->platform,
                                                         this->settingsOf(zone, number),
                                                         this->plan.hosts, std::move(handlers)));
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
    this->runHousekeeping();
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
    this->time.run(6s); // Covers the longest request deadline.
    return this->result();
}

auto Emulation::makeRows() -> PacketRows
{
    PacketRows rows;
    rows.version = this->newestRows.version + 1;
    for (const auto &planned : this->plan.rows) {
        PacketRow row;
        row.name = planned.load.name;
        row.id = RowId::ofName(row.name);
        row.address = planned.load.address;
        row.idempotent = planned.load.idempotent;
        row.deadline = planned.load.deadline;
        row.target = planned.load.target;
        row.urgency = planned.load.urgency;
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
    this->newestRows = this->makeRows();
    this->publishedAt.push_back(this->time.now());
    this->platform.publish(this->newestRows);
}

auto Emulation::restoreStore() -> void
{
    this->platform.restoreCopy();
    this->time.later(operatorRewriteDelay, [this] { this->rewriteLost(); });
}

auto Emulation::rewriteLost() -> void
{
    if (this->platform.rowsVersion() != this->newestRows.version) {
        this->platform.publish(this->newestRows);
    }
    for (const auto &zone : this->plan.zones) {
        const auto isOrdered = this->evacuatedAt.count(zone.name) != 0;
        if (isOrdered && !this->platform.isEvacuated(zone.name)) {
            this->platform.evacuate(zone.name);
        }
        if (!isOrdered && this->platform.isEvacuated(zone.name)) {
            this->platform.endEvacuation(zone.name);
        }
    }
}

auto Emulation::checkRows() -> void
{
    const auto now = this->time.now();
    std::uint64_t due = 0; // The newest version that each host must have.
    while (due < this->publishedAt.size() && now - this->publishedAt[due] > this->plan.rowsBound) {
        ++due;
    }
    for (const auto &host : this->hosts) {
        if (host->life() != HostLife::Running) {
            continue;
        }
        const auto version = host->balancer().stats().rowsVersion;
        auto &seen = this->rowsSeen[host->name()];
        const auto isSameProcess = seen.process == host->startCount;
        this->judge.day.revertedRows += isSameProcess && version < seen.version ? 1 : 0;
        seen = { host->startCount, version };
        const auto isUndisturbed = now - host->disturbedAt > disturbanceWindow;
        this->judge.day.lateRows += isUndisturbed && version < due ? 1 : 0;
    }
}

auto Emulation::addUpstream(const std::string &service, const std::string &zone, Address address)
        -> std::size_t
{
    const auto index = this->upstreamEntries.size();
    auto entry = std::make_unique<UpstreamEntry>();
    auto &record = entry->record;
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
    record.address = address.isValid()
                             ? address
                             : Address { upstreamNetwork + static_cast<std::uint32_t>(index) + 1,
                                         upstreamPort };
    entry->place = { record.name, zone };
    entry->process = std::make_unique<EmulatedUpstream>(
            this->time, record, this->makeUpstreamCallbacks(index), this->random());
    entry->process->queueMax = planned.queue;
    entry->process->coldUntil = this->time.now() + planned.coldTime;
    this->upstreamByAddress[record.address] = index;
    this->upstreamEntries.push_back(std::move(entry));
    this->upstreamEntries.back()->isHeartbeatScheduled = true;
    this->time.later(Duration(static_cast<Duration::rep>(this->random() % 300000)),
                     [this, index] { this->sendHeartbeat(index); });
    return index;
}

auto Emulation::makeUpstreamCallbacks(std::size_t index) -> UpstreamCallbacks
{
    UpstreamCallbacks handlers;
    handlers.toCaller = [this](const FlowPacket &packet) { this->toCaller(packet, std::nullopt); };
    handlers.onRun = [this](std::uint64_t request) { this->judge.noteRun(request, false); };
    handlers.onOpening = [this, index](const FlowPacket &packet) {
        const auto &entry = *this->upstreamEntries[index];
        const auto row = std::find_if(
                this->plan.rows.begin(), this->plan.rows.end(),
                [&](const RowPlan &it) { return it.load.address == packet.head.service; });
        const auto isAllowed =
                row != this->plan.rows.end()
                && std::any_of(row->shares.begin(), row->shares.end(), [&](const auto &share) {
                       return share.first == entry.record.serviceName;
                   });
        this->judge.day.wrongService += isAllowed ? 0 : 1;
        this->checkOpening(entry);
        this->checkColdOpening(index);
    };
    return handlers;
}

auto Emulation::checkOpening(const UpstreamEntry &entry) -> void
{
    const auto isHostUndisturbed =
            entry.lastHost != nullptr
            && this->time.now() - entry.lastHost->disturbedAt > disturbanceWindow;
    if (isHostUndisturbed) {
        this->checkEvacuatedOpening(entry);
    }
    if (!entry.drainStoredAt || !isHostUndisturbed) {
        return;
    }
    const Duration late = this->time.now() - *entry.drainStoredAt;
    this->judge.day.latestOpening = std::max(this->judge.day.latestOpening, late);
    this->judge.day.lateOpenings += late > this->plan.drainBound ? 1 : 0;
}

auto Emulation::checkEvacuatedOpening(const UpstreamEntry &entry) -> void
{
    const auto found = this->evacuatedAt.find(entry.place.zone);
    if (found == this->evacuatedAt.end()) {
        return;
    }
    const Duration late = this->time.now() - found->second;
    this->judge.day.latestEvacuated = std::max(this->judge.day.latestEvacuated, late);
    this->judge.day.evacuatedOpenings += late > this->plan.evacuateBound ? 1 : 0;
}

auto Emulation::checkColdOpening(std::size_t index) -> void
{
    auto &entry = *this->upstreamEntries[index];
    const auto &service = this->servicePlanOf(entry.record.serviceName);
    const auto now = this->time.now();
    if (service.coldPerSecond <= 0 || now >= entry.process->coldUntil) {
        return;
    }
    ++this->judge.day.coldOpenings;
    auto &openings = entry.coldOpenings;
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
        if (this->upstreamEntries[index]->process->life() == UpstreamLife::Running) {
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
    for (const auto &entry : this->upstreamEntries) {
        if (cold && entry->place.zone == zone) {
            const auto coldTime = this->servicePlanOf(entry->record.serviceName).coldTime;
            entry->process->coldUntil = this->time.now() + coldTime;
        }
    }
}

auto Emulation::sendHeartbeat(std::size_t index) -> void
{
    auto &entry = *this->upstreamEntries[index];
    entry.isHeartbeatScheduled = entry.sendsHeartbeats;
    if (!entry.sendsHeartbeats) {
        return;
    }
    const auto cold = entry.process->coldUntil - this->time.now();
    entry.record.warmup = cold > Duration(0) ? Duration(cold) : Duration(0);
    entry.stored = this->platform.write(entry.place, entry.record);
    if (entry.stored && entry.record.state == UpstreamState::Draining && !entry.drainStoredAt) {
        entry.drainStoredAt = this->time.now();
    }
    this->time.later(heartbeatInterval, [this, index] { this->sendHeartbeat(index); });
}

auto Emulation::drainUpstream(std::size_t index, Duration extra) -> void
{
    auto &entry = *this->upstreamEntries[index];
    entry.record.state = UpstreamState::Draining;
    entry.process->drain();
    if (this->platform.write(entry.place, entry.record)) {
        entry.drainStoredAt = this->time.now();
    }
    this->time.later(this->plan.drainBound + extra, [this, index] {
        auto &leaving = *this->upstreamEntries[index];
        if (!leaving.drainStoredAt) {
            this->drainUpstream(index); // The store has not accepted the draining state yet.
            return;
        }
        leaving.sendsHeartbeats = false;
        leaving.disturbedAt = this->time.now();
        leaving.process->fail(UpstreamLife::Crashed);
        this->platform.remove(leaving.place, leaving.record.instance);
    });
}

auto Emulation::failUpstream(std::size_t index, UpstreamLife kind) -> void
{
    auto &entry = *this->upstreamEntries[index];
    entry.sendsHeartbeats = false;
    entry.disturbedAt = this->time.now();
    entry.process->fail(kind);
}

auto Emulation::restartUpstream(std::size_t index, UpstreamLife kind, Duration after) -> void
{
    this->failUpstream(index, kind);
    this->time.later(after, [this, index] {
        auto &entry = *this->upstreamEntries[index];
        const auto coldTime = this->servicePlanOf(entry.record.serviceName).coldTime;
        entry.process->restart(this->time.now() + coldTime);
        entry.record.startedAt = WallTime(this->time.now().time_since_epoch());
        entry.disturbedAt = this->time.now();
        entry.sendsHeartbeats = true;
        if (!entry.isHeartbeatScheduled) {
            this->sendHeartbeat(index);
        }
    });
}

auto Emulation::disturbUpstream(std::size_t index, Duration duration) -> void
{
    auto &entry = *this->upstreamEntries[index];
    const auto until = this->time.now() + duration;
    entry.disturbedAt = std::max(entry.disturbedAt.value_or(until), until);
}

auto Emulation::accumulateColdTime() -> void
{
    for (const auto &entry : this->upstreamEntries) {
        const auto isCold = this->time.now() < entry->process->coldUntil
                            && entry->process->life() == UpstreamLife::Running
                            && this->servicePlanOf(entry->record.serviceName).coldPerSecond > 0;
        const std::chrono::duration<double> passed =
                this->hasLoadStarted && isCold ? housekeepingInterval : Duration(0);
        this->judge.day.coldSeconds += passed.count();
    }
}

auto Emulation::runHousekeeping() -> void
{
    this->platform.expire();
    this->accumulateColdTime();
    this->mesh.checkConnections();
    for (const auto &host : this->hosts) {
        if (host->life() != HostLife::Running || !this->platform.isStableFor(host->place())) {
            host->disturbedAt = this->time.now();
        }
    }
    this->checkRows();
    this->time.later(housekeepingInterval, [this] { this->runHousekeeping(); });
}

auto Emulation::running(const std::string &service) const -> std::vector<std::size_t>
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < this->upstreamEntries.size(); ++i) {
        const auto &entry = *this->upstreamEntries[i];
        const auto isActive = entry.process->life() == UpstreamLife::Running
                              && entry.record.state == UpstreamState::Active;
        if (isActive && (service.empty() || entry.record.serviceName == service)) {
            found.push_back(i);
        }
    }
    return found;
}

auto Emulation::makeCallerPoolCallbacks() -> CallerPoolCallbacks
{
    CallerPoolCallbacks handlers;
    handlers.toFabric = [this](std::size_t caller, const FlowPacket &packet) {
        this->sendToFabric(caller, packet);
    };
    handlers.onEnd = [this](std::size_t caller, const RequestResult &result) {
        this->judge.take(this->pool.zoneOf(caller), result);
    };
    return handlers;
}

auto Emulation::sendToFabric(std::size_t caller, const FlowPacket &packet) -> void
{
    constexpr std::size_t shareSteps = 100;
    const auto &home = this->pool.zoneOf(caller);
    const auto moved = this->movedCallers.find(home);
    const auto share = static_cast<double>(caller % shareSteps) / shareSteps;
    const auto isMoved = moved != this->movedCallers.end() && share < this->movedShare;
    this->fabric.send(isMoved ? moved->second : home, packet);
}

auto Emulation::toUpstream(const EmulatedHost &host, const PacketTarget &target,
                           const FlowPacket &packet) -> void
{
    const auto found = this->upstreamByAddress.find(target.address);
    if (found == this->upstreamByAddress.end()) {
        return;
    }
    auto &entry = *this->upstreamEntries[found->second];
    if (entry.place.zone != host.place().zone) {
        this->packetBytesBetweenZones += packetHeadBytes + packet.head.dataBytes;
    }
    this->links.send(host.place(), entry.place,
                     [&entry, &host, instance = target.instance, packet] {
                         entry.lastHost = &host;
                         entry.process->take(instance, packet);
                     });
}

auto Emulation::toCaller(const FlowPacket &packet, std::optional<PacketReason> resetBy) -> void
{
    this->links.sendToCaller([this, packet, resetBy] {
        auto *caller = this->pool.find(packet.head.caller.ip);
        if (caller == nullptr) {
            return;
        }
        // A reset of an open flow is a violation only if an undisturbed upstream still holds the
        // flow.
        const auto isHeldByUpstream = std::any_of(
                this->upstreamEntries.begin(), this->upstreamEntries.end(), [&](const auto &it) {
                    return it->process->holds(packet.head.caller, packet.head.service)
                           && (!it->disturbedAt
                               || this->time.now() - *it->disturbedAt > disturbanceWindow);
                });
        if (caller->take(packet, resetBy.has_value()) && isHeldByUpstream) {
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
    for (const auto &entry : this->upstreamEntries) {
        day.sheds += entry->process->shedCount;
        if (entry->process->life() == UpstreamLife::Running) {
            runs[entry->record.serviceName].push_back(
                    static_cast<double>(entry->process->runCount));
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
