/// Places feeds by weighted rendezvous hashing of their flow id, bounded by a per-host quota at
/// each upstream.
#include "core/feeds/feedplacement.h"

#include "core/blackboard.h"
#include "core/placement/placement.h"
#include "core/rendezvous.h"

#include <algorithm>

namespace flamingograde {

namespace {

/// Returns how many feeds this host may hold at an upstream: the upstream's connection limit
/// divided by the number of live hosts, rounded up.
auto hostQuota(const Blackboard &board, const Upstream &upstream) -> std::size_t
{
    const auto hosts = std::max<std::size_t>(board.membership.aliveCount(), 1);
    return (upstream.connections + hosts - 1) / hosts;
}

} // namespace

auto upstreamForFlow(const Blackboard &board, ServiceId service, FlowId flow, std::size_t skipCount)
        -> UpstreamId
{
    const auto &table = board.table();
    const auto &indices = table.upstreamsOf(service);
    std::vector<RendezvousNode> nodes;
    nodes.reserve(indices.size());
    for (const auto index : indices) {
        const auto &upstream = table.upstreams()[index];
        const auto open = isOpenFor(board, upstream.id, service)
                          && board.feeds.countAt(upstream.id) < hostQuota(board, upstream);
        nodes.push_back({ upstream.id.value(), open ? upstream.connections : 0.0 });
    }
    if (skipCount == 0) {
        const auto winner = rendezvousPick(flow.value(), nodes);
        return winner == rendezvousNone ? UpstreamId() : UpstreamId(nodes[winner].id);
    }
    const auto order = rendezvousOrder(flow.value(), nodes);
    return order.empty() ? UpstreamId() : UpstreamId(nodes[order[skipCount % order.size()]].id);
}

} // namespace flamingograde
