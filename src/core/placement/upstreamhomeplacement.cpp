/// Baseline: a queue of its own for each upstream.
#include "core/placement/upstreamhomeplacement.h"

#include "core/blackboard.h"
#include "core/overloaded.h"
#include "core/rendezvous.h"

namespace flamingograde {

namespace {

/// Returns an open upstream of `cell` by rendezvous of the exchange's key; invalid for none.
auto upstreamIn(const Blackboard &board, CellId cell, const Exchange &exchange) -> UpstreamId
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

auto UpstreamHomePlacement::place(Blackboard &board, Exchange &exchange) const -> Placed
{
    const auto placed = this->cells.place(board, exchange);
    const auto cell = std::visit(Overloaded { [](const PlaceHere &here) { return here.cell; },
                                              [](const PlaceAt &at) { return at.cell; },
                                              [](const auto &) { return CellId(); } },
                                 placed);
    if (cell.isValid() && !exchange.bound) {
        exchange.upstream = upstreamIn(board, cell, exchange);
        exchange.bound = exchange.upstream.isValid();
    }
    return placed;
}

} // namespace flamingograde
