/// Decision to send new flows to other availability zones.
#include "core/packets/zonespill.h"

#include "core/blackboard.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <random>

namespace flamingograde {

namespace {

/// Returns whether the zone's queues are long, judged by this host's own requests.
auto isZoneCrowded(const Blackboard &board, const PacketRow &row, const ServicePool &pool) -> bool
{
    const auto hosts = board.membership.candidates(board.init.self.zone).size();
    const auto requests = static_cast<double>(pool.nearBusy)
                          * static_cast<double>(std::max<std::size_t>(hosts, 1));
    const auto isUpload = row.kind == RequestKind::Upload;
    const auto limit = isUpload ? config::crowdedUploads : config::crowdedRequests;
    return requests >= limit * pool.nearSlots;
}

} // namespace

auto spillPart(const SlotDemand &demand, double zoneSlots, double allSlots) -> double
{
    if (demand.zone <= 0 || allSlots <= zoneSlots) {
        return 0;
    }
    const auto busy = std::max(config::zoneSlotsBusy, demand.fleet / allSlots);
    return std::max(0.0, 1 - busy * zoneSlots / demand.zone);
}

auto leavesZone(Blackboard &board, const PacketRow &row, ServiceId service, const ServicePool &pool)
        -> bool
{
    const auto *load = board.flowAdmission.find(service);
    if (load == nullptr || load->slotDemand.zone <= 0) {
        return isZoneCrowded(board, row, pool);
    }
    const auto part = spillPart(load->slotDemand, pool.nearSlots, pool.slots());
    return part > 0 && std::uniform_real_distribution<double>()(board.random) < part;
}

} // namespace flamingograde
