/// When new flows leave the own availability zone.
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
    const auto isLarge = row.kind == RequestKind::Upload;
    const auto limit = isLarge ? config::crowdedUploads : config::crowdedRequests;
    return requests >= limit * pool.nearSlots;
}

} // namespace flamingograde
