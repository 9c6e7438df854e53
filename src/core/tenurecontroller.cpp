/// Homes of a zone with one host.
#include "core/tenurecontroller.h"

#include "core/blackboard.h"

namespace flamingograde {

auto TenureController::handle(Blackboard &board, const Event & /*event*/) -> void
{
    const auto zone = board.init.self.zone;
    if (board.membership.voters(zone).size() != 1) {
        return;
    }
    for (const auto &upstream : board.table().upstreams()) {
        if (upstream.zone == zone && !board.tenure.since(upstream.cell())) {
            board.tenure.begin(upstream.cell(), { board.now.wall, HostId() });
            ++board.stats.tenuresBegun;
        }
    }
}

} // namespace flamingograde
