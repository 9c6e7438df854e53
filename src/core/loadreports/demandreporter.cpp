/// Timing and receivers of extra demand reports.
#include "core/loadreports/demandreporter.h"

#include "core/blackboard.h"
#include "core/flowadmission/admitflow.h"
#include "core/membership/gossip.h"
#include "core/membership/ownzone.h"

#include <flamingograde/config.h>

#include <vector>

namespace flamingograde {

namespace {

/// Returns the hosts for which this one has a report: its feed or, from a hub, the other hubs, the
/// hosts that it feeds and those of other zones.
auto receivers(const Blackboard &board) -> std::vector<HostId>
{
    if (!board.links.isHub(board.membership.self)) {
        return { board.links.feed };
    }
    std::vector<HostId> hosts;
    for (const auto &[id, record] : board.membership.records()) {
        const auto isFed = record.link.use == LinkUse::Changes;
        const auto isOther = !isInOwnZone(board, record);
        if (record.connected && (isFed || isOther || board.links.isHub(id))) {
            hosts.push_back(id);
        }
    }
    return hosts;
}

} // namespace

auto DemandReporter::tick(Blackboard &board) -> void
{
    if (board.now.mono < this->nextReport || !isAnyServicePressed(board)) {
        return;
    }
    this->nextReport = board.now.mono + config::demandReportPeriod;
    for (const auto host : receivers(board)) {
        sendPeer(board, host, Ping { 0, makeGossip(board, host) });
    }
    board.demand.forgetOld(board.now.mono);
}

} // namespace flamingograde
