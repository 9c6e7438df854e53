/// Draws and compares upstreams for a new flow.
#include "core/packets/flowplacement.h"

#include "core/blackboard.h"

#include <flamingograde/config.h>

#include <vector>

namespace flamingograde {

namespace {

/// An upstream that is slow after its start counts as if it had this share of its slots.
constexpr double coldShare = 0.5;

using Candidates = std::vector<std::uint32_t>;

/// Returns how busy an upstream would be with one flow more.
auto loadOf(const Blackboard &board, std::uint32_t index) -> double
{
    const auto &entry = board.directory.at(index);
    const auto slots = static_cast<double>(entry.record.upstream.slots)
                       * (board.now.mono < entry.warmAt ? coldShare : 1.0);
    return (entry.evidence.busy + 1) / slots;
}

/// Keeps the least busy of the upstreams that are offered; of equals, any with the same chance.
class LeastBusy
{
public:
    LeastBusy(Blackboard &blackboard, const NewFlow &newFlow) : board(blackboard), flow(newFlow) {}

    auto offer(std::uint32_t index) -> void
    {
        if (this->flow.avoid == index) {
            return;
        }
        const auto load = loadOf(this->board, index);
        if (this->best && load > this->bestLoad) {
            return;
        }
        this->equals = this->best && load == this->bestLoad ? this->equals + 1 : 1;
        if (this->equals == 1 || this->board.random() % this->equals == 0) {
            this->best = index;
            this->bestLoad = load;
        }
    }

    [[nodiscard]] auto result() const -> std::optional<std::uint32_t> { return this->best; }

private:
    Blackboard &board;
    const NewFlow &flow;
    std::optional<std::uint32_t> best;
    double bestLoad = 0;
    std::uint32_t equals = 0;
};

/// Returns the least busy of a few drawn candidates, or of all where they are few.
///
/// Comparing four of many keeps a placement under a microsecond whatever the size of the service.
auto leastBusyOf(Blackboard &board, const Candidates &candidates, const NewFlow &flow)
        -> std::optional<std::uint32_t>
{
    LeastBusy least(board, flow);
    if (candidates.size() <= config::placementScan) {
        for (const auto index : candidates) {
            least.offer(index);
        }
        return least.result();
    }
    for (std::size_t draw = 0; draw < config::placementDraws; ++draw) {
        least.offer(candidates[board.random() % candidates.size()]);
    }
    return least.result();
}

auto placeInService(Blackboard &board, ServiceId service, const NewFlow &flow)
        -> std::optional<std::uint32_t>
{
    const auto &pool = board.directory.poolOf(service);
    for (const auto *candidates : { &pool.near, &pool.far, &pool.spare }) {
        if (const auto chosen = leastBusyOf(board, *candidates, flow)) {
            return chosen;
        }
    }
    return std::nullopt;
}

/// Returns the index of the share that a flow is drawn into by weight.
auto drawShare(const std::vector<ServiceShare> &shares, std::uint64_t hash) -> std::size_t
{
    std::uint64_t total = 0;
    for (const auto &share : shares) {
        total += share.weight;
    }
    if (total == 0) {
        return 0;
    }
    auto left = hash % total;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        if (left < shares[i].weight) {
            return i;
        }
        left -= shares[i].weight;
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
        if (const auto chosen = placeInService(board, share.service, flow)) {
            return chosen;
        }
    }
    return std::nullopt;
}

} // namespace flamingograde
