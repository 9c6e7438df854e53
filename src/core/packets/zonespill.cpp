/// Decision to send new flows to other availability zones.
#include "core/packets/zonespill.h"

#include "core/blackboard.h"

#include <flamingograde/config.h>

#include <algorithm>

namespace flamingograde {

auto isZoneCrowded(const Blackboard &board, const PacketRow &row, const ServicePool &pool) -> bool
{
    const auto hosts = board.membership.candidates(board.init.self.zone).size();
    const auto requests = static_cast<double>(pool.nearBusy)
                          * static_cast<double>(std::max<std::size_t>(hosts, 1));
    const auto isUpload = row.kind == RequestKind::Upload;
    const auto limit = isUpload ? config::crowdedUploads : config::crowdedRequests;
    return requests >= limit * pool.nearSlots;
}

} // namespace flamingograde
