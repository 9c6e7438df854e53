/// Order in which services and upstreams are tried for a new flow.
#include "core/packets/flowplacement.h"

#include "core/blackboard.h"
#include "core/flowadmission/admitflow.h"
#include "core/packets/zonespill.h"

#include <variant>
#include <vector>

namespace flamingograde {

namespace {

auto choose(Blackboard &board, const FlowCandidates &candidates, const NewFlow &flow)
        -> std::optional<std::uint32_t>
{
    return std::visit([&](const auto &choice) { return choice.choose(board, candidates, flow); },
                      board.packets.choice);
}

auto placeInPool(Blackboard &board, const PacketRow &row, ServiceId service,
                 const ServicePool &pool, const NewFlow &flow) -> std::optional<std::uint32_t>
{
    const auto usesSubset = board.init.packetPolicy == PacketPolicy::LeastBusy;
    const auto prefersOtherZones = leavesZone(board, row, service, pool);
    const auto &first = prefersOtherZones ? pool.cold : pool.near;
    const auto &second = prefersOtherZones ? pool.far : pool.cold;
    const auto &third = prefersOtherZones ? pool.near : pool.far;
    if (usesSubset && !prefersOtherZones) {
        if (const auto chosen = chooseFromSubset(board, board.packets.subsets.of(service), flow)) {
            return chosen;
        }
    }
    for (const auto *candidates : { &first, &second, &third, &pool.silent }) {
        if (const auto chosen = choose(board, *candidates, flow)) {
            return chosen;
        }
    }
    return std::nullopt;
}

/// Returns whether a service has room for the flow.
auto hasRoom(Blackboard &board, const PacketRow &row, ServiceId service, const ServicePool &pool,
             const NewFlow &flow) -> bool
{
    return flow.mayBeOpen || isAdmitted(admitFlow(board, row, service, pool, flow.callerIp));
}

/// Returns the index of the service share that a flow's hash selects, in proportion to the weights.
auto drawShare(const std::vector<ServiceShare> &shares, std::uint64_t hash) -> std::size_t
{
    std::uint64_t total = 0;
    for (const auto &share : shares) {
        total += share.weight;
    }
    if (total == 0) {
        return 0;
    }
    auto remaining = hash % total;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        if (remaining < shares[i].weight) {
            return i;
        }
        remaining -= shares[i].weight;
    }
    return 0;
}

} // namespace

auto placeFlow(Blackboard &board, const RowEntry &row, const NewFlow &flow) -> FlowPlacement
{
    FlowPlacement placement;
    const auto &shares = row.row->shares;
    const auto first = drawShare(shares, flow.hash);
    for (std::size_t i = 0; i < shares.size(); ++i) {
        const auto &share = shares[(first + i) % shares.size()];
        if (share.weight == 0) {
            continue;
        }
        const auto &pool = board.directory.poolOf(share.service);
        if (!hasRoom(board, *row.row, share.service, pool, flow)) {
            placement.isOverloaded = true;
            continue;
        }
        auto request = flow;
        request.usualResponse = usualResponseOf(board, share.service);
        placement.upstream = placeInPool(board, *row.row, share.service, pool, request);
        if (placement.upstream) {
            return placement;
        }
    }
    return placement;
}

} // namespace flamingograde
