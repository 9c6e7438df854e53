/// Order in which services and upstreams are tried for a new flow.
#include "core/packets/flowplacement.h"

#include "core/blackboard.h"
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

auto placeInService(Blackboard &board, const PacketRow &row, ServiceId service, const NewFlow &flow)
        -> std::optional<std::uint32_t>
{
    const auto &pool = board.directory.poolOf(service);
    const auto prefersOtherZones = isZoneCrowded(board, row, pool);
    const auto &first = prefersOtherZones ? pool.cold : pool.near;
    const auto &second = prefersOtherZones ? pool.far : pool.cold;
    const auto &third = prefersOtherZones ? pool.near : pool.far;
    for (const auto *candidates : { &first, &second, &third, &pool.silent }) {
        if (const auto chosen = choose(board, *candidates, flow)) {
            return chosen;
        }
    }
    return std::nullopt;
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

auto placeFlow(Blackboard &board, const RowEntry &row, const NewFlow &flow)
        -> std::optional<std::uint32_t>
{
    const auto &shares = row.row->shares;
    const auto first = drawShare(shares, flow.hash);
    for (std::size_t i = 0; i < shares.size(); ++i) {
        const auto &share = shares[(first + i) % shares.size()];
        if (share.weight == 0) {
            continue;
        }
        if (const auto chosen = placeInService(board, *row.row, share.service, flow)) {
            return chosen;
        }
    }
    return std::nullopt;
}

} // namespace flamingograde
