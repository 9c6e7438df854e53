/// Choice of the reports for each receiver, and sums of what was received.
#include "core/loadreports/demandreports.h"

#include "core/blackboard.h"
#include "core/flowadmission/admitflow.h"
#include "core/loadreports/demandledger.h"
#include "core/membership/ownzone.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingograde {

namespace {

/// Largest numbers that a host believes: more than any zone can have.
constexpr double requestsMax = 1e8;
constexpr std::uint32_t underWayMax = 100'000'000;

auto isPlausible(const ServiceDemand &demand) -> bool
{
    return std::isfinite(demand.requestsPerSecond) && demand.requestsPerSecond >= 0
           && demand.requestsPerSecond <= requestsMax && demand.underWay <= underWayMax;
}

auto withoutImpossible(std::vector<ServiceDemand> services) -> std::vector<ServiceDemand>
{
    services.erase(std::remove_if(services.begin(), services.end(),
                                  [](const auto &it) { return !isPlausible(it); }),
                   services.end());
    return services;
}

/// Returns whether `host` has this one as its feed, and therefore sends its part only to this one.
auto isFedBySelf(const Blackboard &board, HostId host) -> bool
{
    const auto *record = board.membership.record(host);
    return record != nullptr && record->link.use == LinkUse::Changes;
}

/// Returns the demand that this host speaks for: its own and that of the hosts that it feeds.
auto ownPart(const Blackboard &board) -> DemandSums
{
    DemandSums sums;
    addDemand(sums, ownDemand(board), Duration(0));
    if (board.links.isHub(board.membership.self)) {
        board.demand.addParts(sums, board.now.mono, [&](HostId host) {
            return !board.links.isHub(host) && isFedBySelf(board, host);
        });
    }
    return sums;
}

/// Returns the total of the own zone as a hub adds it up.
auto zoneSums(const Blackboard &board) -> DemandSums
{
    auto sums = ownPart(board);
    board.demand.addParts(sums, board.now.mono,
                          [&](HostId host) { return board.links.isHub(host); });
    return sums;
}

/// Adds the total of the own zone, if callers ask for any service there.
auto addOwnZone(const Blackboard &board, DemandReports &reports) -> void
{
    auto services = toReport(zoneSums(board));
    if (!services.empty()) {
        reports.zones.push_back({ board.init.self.zone, Duration(0), std::move(services) });
    }
}

} // namespace

auto demandReportsFor(const Blackboard &board, HostId receiver) -> DemandReports
{
    DemandReports reports;
    const auto *record = board.membership.record(receiver);
    if (record == nullptr) {
        return reports;
    }
    const auto isHub = board.links.isHub(board.membership.self);
    if (!isInOwnZone(board, *record)) {
        if (isHub) {
            addOwnZone(board, reports);
        }
        return reports;
    }
    const auto zone = board.init.self.zone;
    if (board.links.isHub(receiver)) {
        reports.part = toReport(ownPart(board));
        reports.zones =
                isHub ? board.demand.zones(zone, board.now.mono) : std::vector<ZoneDemand>();
    } else if (isHub) {
        reports.zones = board.demand.zones(zone, board.now.mono);
        addOwnZone(board, reports);
    }
    return reports;
}

auto takeDemandReports(Blackboard &board, HostId from, const DemandReports &reports) -> void
{
    const auto *record = board.membership.record(from);
    if (record == nullptr) {
        return;
    }
    if (isInOwnZone(board, *record) && !reports.part.empty()) {
        board.demand.notePart(from, withoutImpossible(reports.part), board.now.mono);
    }
    for (const auto &total : reports.zones) {
        board.demand.noteZone({ total.zone, total.age, withoutImpossible(total.services) },
                              board.now.mono);
    }
}

auto fleetDemand(const Blackboard &board) -> FleetDemand
{
    const auto zone = board.init.self.zone;
    const auto now = board.now.mono;
    FleetDemand fleet;
    const auto isHub = board.links.isHub(board.membership.self);
    fleet.isKnown = isHub || board.demand.addZone(fleet.ownZone, zone, now);
    if (isHub) {
        fleet.ownZone = zoneSums(board);
    }
    fleet.sums = fleet.ownZone;
    board.demand.addZonesExcept(fleet.sums, zone, now);
    return fleet;
}

} // namespace flamingograde
