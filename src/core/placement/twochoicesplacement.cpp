/// Baseline: placement at the better of two random upstreams.
#include "core/placement/twochoicesplacement.h"

#include "core/blackboard.h"

namespace flamingograde {

auto TwoChoicesPlacement::place(Blackboard &board, Exchange &exchange) const -> PlacementDecision
{
    const auto open = openUpstreams(board, exchange.service);
    if (open.empty()) {
        return NoPlacement { RefusalReason::NoUpstream, false };
    }
    std::vector<double> weights;
    for (const auto *upstream : open) {
        weights.push_back(upstream->slots);
    }
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    const auto *first = open[draw(board.random)];
    const auto *second = open[draw(board.random)];
    const auto share = [&](const Upstream *upstream) {
        return static_cast<double>(ownRunningAt(board, upstream->id)) / upstream->slots;
    };
    return DirectUpstream { share(second) < share(first) ? second->id : first->id };
}

} // namespace flamingograde
