/// Baseline: placement by the own fewest requests.
#include "core/placement/leastloadedplacement.h"

#include "core/blackboard.h"

#include <algorithm>

namespace flamingograde {

auto LeastLoadedPlacement::place(Blackboard &board, Exchange &exchange) const -> Placed
{
    auto open = openUpstreams(board, exchange.service);
    if (open.empty()) {
        return PlaceNowhere { RefusalReason::NoUpstream, false };
    }
    std::shuffle(open.begin(), open.end(), board.random); // Ties go to any.
    const auto share = [&](const Upstream *upstream) {
        return static_cast<double>(ownRunningAt(board, upstream->id)) / upstream->slots;
    };
    const auto least =
            std::min_element(open.begin(), open.end(), [&](const Upstream *a, const Upstream *b) {
                return share(a) < share(b);
            });
    return PlaceDirect { (*least)->id };
}

} // namespace flamingograde
