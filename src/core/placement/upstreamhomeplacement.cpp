/// Baseline: a separate queue for each upstream.
#include "core/placement/upstreamhomeplacement.h"

#include "core/blackboard.h"
#include "core/overloaded.h"
#include "core/rendezvous.h"

namespace flamingograde {

namespace {

/// Returns the usable upstream of `cell` that rendezvous hashing chooses for the key of `exchange`,
/// or for its id if it has no key; invalid if no upstream is usable.
auto pickUpstream(const Blackboard &board, CellId cell, const Exchange &exchange) -> UpstreamId
{
    std::vector<RendezvousNode> nodes;
    for (const auto index : board.table().upstreamsOf(cell)) {
        const auto &upstream = board.table().upstreams()[index];
        const auto open = isOpenFor(board, upstream.id, exchange.service);
        nodes.push_back({ upstream.id.value(), open ? upstream.slots : 0.0 });
    }
    const auto key = exchange.key.empty() ? exchange.id.value() : hashName(exchange.key);
    const auto winner = rendezvousPick(key, nodes);
    return winner == rendezvousNone ? UpstreamId() : UpstreamId(nodes[winner].id);
}

} // namespace

auto UpstreamHomePlacement::place(Blackboard &board, Exchange &exchange) const -> PlacementDecision
{
    const auto placed = this->cellPlacement.place(board, exchange);
    const auto cell = std::visit(Overloaded { [](const LocalHome &local) { return local.cell; },
                                              [](const RemoteHome &remote) { return remote.cell; },
                                              [](const auto &) { return CellId(); } },
                                 placed);
    if (cell.isValid() && !exchange.bound) {
        exchange.upstream = pickUpstream(board, cell, exchange);
        exchange.bound = exchange.upstream.isValid();
    }
    return placed;
}

} // namespace flamingograde
