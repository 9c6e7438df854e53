/// Subsets of this host, by its rank among the hosts of its zone.
#include "core/packets/placementsubset.h"

#include "core/blackboard.h"
#include "core/packets/ringsubset.h"

#include <algorithm>

namespace flamingograde {

namespace {

/// Returns the position of this host among the hosts of its zone, ordered by id.
auto rankOf(HostId self, const std::vector<HostId> &hosts) -> std::size_t
{
    return static_cast<std::size_t>(
            std::count_if(hosts.begin(), hosts.end(), [self](HostId host) { return host < self; }));
}

/// Returns the pool's upstreams of the own zone, silent ones included, ordered by instance.
auto ringOf(const Directory &directory, const ServicePool &pool) -> std::vector<std::uint32_t>
{
    auto ring = pool.near;
    std::copy_if(pool.silent.begin(), pool.silent.end(), std::back_inserter(ring),
                 [&](std::uint32_t index) { return directory.at(index).isNear; });
    std::sort(ring.begin(), ring.end(), [&](std::uint32_t a, std::uint32_t b) {
        return directory.at(a).record.upstream.instance < directory.at(b).record.upstream.instance;
    });
    return ring;
}

auto makeSubset(const Blackboard &board, const ServicePool &pool) -> std::vector<SubsetMember>
{
    const auto &hosts = board.membership.candidates(board.init.self.zone);
    const auto ring = ringOf(board.directory, pool);
    std::vector<bool> usable;
    for (const auto index : ring) {
        usable.push_back(!board.directory.at(index).evidence.isSilent());
    }
    std::vector<SubsetMember> subset;
    const auto count = std::max<std::size_t>(hosts.size(), 1);
    const auto rank = std::min(rankOf(board.membership.self, hosts), count - 1);
    for (const auto &[position, part] : ringSubset(rank, count, usable)) {
        const auto index = ring[position];
        subset.push_back({ index, board.directory.at(index).record.upstream.instance, part });
    }
    return subset;
}

} // namespace

auto updateSubsets(Blackboard &board) -> void
{
    auto &subsets = board.packets.subsets;
    const auto &pools = board.directory.freshPools();
    const auto members = board.membership.version();
    if (subsets.membersVersion == members && subsets.poolsVersion == pools.version()) {
        return;
    }
    subsets.membersVersion = members;
    subsets.poolsVersion = pools.version();
    subsets.byService.clear();
    for (const auto &[service, pool] : pools.all()) {
        subsets.byService[service] = makeSubset(board, pool);
    }
}

} // namespace flamingograde
