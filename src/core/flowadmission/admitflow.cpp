/// Shares of hosts, and admission by them.
#include "core/flowadmission/admitflow.h"

#include "core/blackboard.h"
#include "core/loadreports/demandreports.h"
#include "core/milliseconds.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

namespace flamingograde {

namespace {

/// Demand below this many requests per second is not reported and shares nothing out.
constexpr double requestsMin = 0.01;

/// Returns this host's part of a service's slots if all hosts of a zone get the same demand and
/// each zone has as many callers as its slots can serve. The reports refine it.
auto equalShare(const Blackboard &board, const ServicePool &pool) -> double
{
    const auto hosts = board.membership.candidates(board.init.self.zone).size();
    const auto zonePart =
            pool.nearSlots == 0 ? 1.0 : static_cast<double>(pool.nearSlots) / pool.slots();
    return zonePart / static_cast<double>(std::max<std::size_t>(hosts, 1));
}

/// Returns this host's part of the demand, within bounds that no report can move: at least half
/// of an equal share, and at most twice the share that it would have if all callers were in its
/// zone.
auto shareOf(const Blackboard &board, const ServicePool &pool, double own, double fleet) -> double
{
    const auto hosts = board.membership.candidates(board.init.self.zone).size();
    const auto equal = equalShare(board, pool);
    const auto most = 2.0 / static_cast<double>(std::max<std::size_t>(hosts, 1));
    const auto least = equal / 2;
    return fleet < requestsMin ? equal : std::clamp(own / fleet, least, std::max(least, most));
}

/// Returns the slots that the demand keeps busy in this zone and in the fleet, if it is known.
auto slotDemandOf(const Blackboard &board, ServiceId service, const ServiceLoad &load,
                  const FleetDemand &fleet) -> SlotDemand
{
    const auto all = fleet.sums.find(service);
    const auto own = fleet.ownZone.find(service);
    const auto slotTime = load.times(board.now.mono).slotTime;
    if (!fleet.isKnown || !slotTime || all == fleet.sums.end() || own == fleet.ownZone.end()) {
        return {};
    }
    const std::chrono::duration<double> time = *slotTime;
    return { own->second.requestsPerSecond * time.count(),
             all->second.requestsPerSecond * time.count() };
}

auto statsOfService(const Blackboard &board, ServiceId service, const ServiceLoad &load)
        -> ServiceStats
{
    const auto &pool = board.directory.findPool(service);
    ServiceStats stats;
    stats.name = pool.name;
    stats.slots = pool.slots();
    stats.underWay = pool.underWay;
    stats.share = load.share;
    stats.hostLoad = hostLoadOf(board, service);
    stats.fleetLoad = load.fleetLoad;
    stats.slotTimeMs = milliseconds(load.times(board.now.mono).slotTime.value_or(Duration(0)));
    stats.flows = load.flows;
    return stats;
}

/// Returns a number with two decimals.
auto decimal(double value) -> std::string
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.2f", value);
    return text.data();
}

auto describe(const ServiceStats &stats) -> std::string
{
    return "service=" + stats.name + " load=" + decimal(stats.hostLoad)
           + " fleet_load=" + decimal(stats.fleetLoad) + " slots=" + std::to_string(stats.slots)
           + " share=" + decimal(stats.share) + " under_way=" + std::to_string(stats.underWay)
           + " slot_ms=" + std::to_string(stats.slotTimeMs);
}

auto describeLoad(const Blackboard &board, ServiceId service, const ServiceLoad &load)
        -> std::string
{
    return describe(statsOfService(board, service, load))
           + " refused=" + std::to_string(load.overload.refusedFlows());
}

auto logOverload(Blackboard &board, ServiceId service, ServiceLoad &load) -> void
{
    auto &period = load.overload;
    if (!period.begin()) {
        return;
    }
    if (!period.isOpen(board.now.mono)) {
        const auto lasted = milliseconds(board.now.mono - *period.begin() - config::overloadEnd);
        board.log(LogEvent::OverloadEnded,
                  describeLoad(board, service, load) + " lasted_ms=" + std::to_string(lasted));
        period = OverloadPeriod();
        return;
    }
    if (!period.isLogged) {
        period.isLogged = true;
        board.log(LogEvent::OverloadBegan, describeLoad(board, service, load));
    }
}

} // namespace

auto hostRoomOf(const Blackboard &board, ServiceId service, const ServicePool &pool) -> HostRoom
{
    const auto *load = board.flowAdmission.find(service);
    const auto isShareKnown = load != nullptr && load->share > 0;
    const auto share = isShareKnown ? load->share : equalShare(board, pool);
    return { pool.slots() * share, pool.underWay, load == nullptr ? 0 : load->fleetLoad };
}

auto flowRequestOf(const PacketRow &row, std::uint32_t callerIp) -> FlowRequest
{
    return { callerIp, row.urgency, row.target > Duration(0) ? row.target : row.deadline };
}

auto admitFlow(Blackboard &board, const PacketRow &row, ServiceId service, const ServicePool &pool,
               std::uint32_t callerIp) -> Admission
{
    if (!board.init.admitsByLoad || pool.slots() == 0) {
        return Admission::Admitted;
    }
    const auto room = hostRoomOf(board, service, pool);
    return board.flowAdmission.of(service).decide(flowRequestOf(row, callerIp), room,
                                                  board.now.mono);
}

auto noteHandshake(Blackboard &board, const UpstreamEntry &entry, std::uint32_t elapsed) -> void
{
    const std::chrono::milliseconds time(elapsed);
    board.flowAdmission.of(entry.record.upstream.service).noteHandshake(time);
}

auto noteResponse(Blackboard &board, const UpstreamEntry &entry, std::uint32_t elapsed, double load)
        -> void
{
    const std::chrono::milliseconds time(elapsed);
    board.flowAdmission.of(entry.record.upstream.service).noteResponse(time, load, board.now.mono);
}

auto usualResponseOf(const Blackboard &board, ServiceId service) -> Duration
{
    const auto *load = board.flowAdmission.find(service);
    return load == nullptr ? Duration(0) : load->meanResponse();
}

auto hostLoadOf(const Blackboard &board, ServiceId service) -> double
{
    const auto room = hostRoomOf(board, service, board.directory.findPool(service));
    return room.slots > 0 ? room.underWay / room.slots : 0;
}

auto beginServiceRequest(Blackboard &board, ServiceId service) -> double
{
    auto &load = board.flowAdmission.of(service);
    load.noteRequest();
    return std::max(hostLoadOf(board, service), load.fleetLoad);
}

auto ownDemand(const Blackboard &board) -> std::vector<ServiceDemand>
{
    std::vector<ServiceDemand> demand;
    for (const auto &[service, load] : board.flowAdmission.loads) {
        const auto requests = load.requestsPerSecond();
        const auto underWay = board.directory.findPool(service).underWay;
        if (requests >= requestsMin || underWay > 0) {
            demand.push_back({ service, requests, underWay });
        }
    }
    return demand;
}

auto updateServiceLoads(Blackboard &board) -> void
{
    if (board.flowAdmission.loads.empty()) {
        return;
    }
    const auto fleet = fleetDemand(board);
    for (auto &[service, load] : board.flowAdmission.loads) {
        load.tick(board.now.mono);
        const auto &pool = board.directory.poolOf(service);
        const auto found = fleet.sums.find(service);
        const auto isKnown = fleet.isKnown && found != fleet.sums.end();
        const auto requests = isKnown ? found->second.requestsPerSecond : 0;
        const auto underWay = isKnown ? found->second.underWay : 0;
        load.share = shareOf(board, pool, load.requestsPerSecond(), requests);
        load.slotDemand = slotDemandOf(board, service, load, fleet);
        load.fleetLoad = pool.slots() > 0 ? underWay / pool.slots() : 0;
        logOverload(board, service, load);
    }
}

auto serviceStatsOf(const Blackboard &board) -> std::vector<ServiceStats>
{
    std::vector<ServiceStats> all;
    for (const auto &[service, load] : board.flowAdmission.loads) {
        all.push_back(statsOfService(board, service, load));
    }
    return all;
}

auto describeAdmission(const Blackboard &board, const PacketRow &row, ServiceId service,
                       std::uint32_t callerIp) -> std::string
{
    const auto *load = board.flowAdmission.find(service);
    if (load == nullptr) {
        return "service=" + board.directory.findPool(service).name;
    }
    const auto request = flowRequestOf(row, callerIp);
    const auto room = hostRoomOf(board, service, board.directory.findPool(service));
    const auto admission =
            room.slots > 0 ? load->assess(request, room, board.now.mono) : Admission::Admitted;
    return describe(statsOfService(board, service, *load))
           + " limit=" + decimal(load->limitFor(request, board.now.mono))
           + " admission=" + std::string(toString(admission));
}

auto isAnyServicePressed(const Blackboard &board) -> bool
{
    const auto &loads = board.flowAdmission.loads;
    return std::any_of(loads.begin(), loads.end(), [&](const auto &entry) {
        const auto &[service, load] = entry;
        const auto room = hostRoomOf(board, service, board.directory.findPool(service));
        const auto slotTime = load.times(board.now.mono).slotTime.value_or(Duration(0));
        const std::chrono::duration<double> seconds = slotTime;
        const auto work = load.requestsPerSecond() * seconds.count();
        return load.isFull() || work >= config::demandPressed * room.slots;
    });
}

} // namespace flamingograde
