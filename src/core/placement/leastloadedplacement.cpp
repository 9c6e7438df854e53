/// Baseline: placement at the upstream with the fewest requests from this host.
#include "core/placement/leastloadedplacement.h"

#include "core/blackboard.h"

#include <algorithm>

namespace flamingograde {

auto LeastLoadedPlacement::place(Blackboard &board, Exchange &exchange) const -> PlacementDecision
{
    auto open = openUpstreams(board, exchange.service);
    if (open.empty()) {
        return NoPlacement { RefusalReason::NoUpstream, false };
    }
    std::shuffle(open.begin(), open.end(), board.random); // Breaks ties at random.
    const auto share = [&](const Upstream *upstream) {
        return static_cast<double>(ownRunningAt(board, upstream->id)) / upstream->slots;
    };
    const auto least =
            std::min_element(open.begin(), open.end(), [&](const Upstream *a, const Upstream *b) {
                return share(a) < share(b);
            });
    return DirectUpstream { (*least)->id };
}

} // namespace flamingograde
