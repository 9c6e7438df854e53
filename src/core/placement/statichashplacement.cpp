/// Baseline: placement by a hash of the request.
#include "core/placement/statichashplacement.h"

#include "core/blackboard.h"
#include "core/rendezvous.h"

namespace flamingograde {

auto StaticHashPlacement::place(Blackboard &board, Exchange &exchange) const -> PlacementDecision
{
    const auto open = openUpstreams(board, exchange.service);
    std::vector<RendezvousNode> nodes;
    nodes.reserve(open.size());
    for (const auto *upstream : open) {
        nodes.push_back({ upstream->id.value(), static_cast<double>(upstream->slots) });
    }
    const auto key = exchange.key.empty() ? exchange.id.value() : hashName(exchange.key);
    const auto winner = rendezvousPick(key, nodes);
    if (winner == rendezvousNone) {
        return NoPlacement { RefusalReason::NoUpstream, false };
    }
    return DirectUpstream { open[winner]->id };
}

} // namespace flamingograde
