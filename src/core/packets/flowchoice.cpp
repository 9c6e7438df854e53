/// Draws and compares upstreams for a new flow.
#include "core/packets/flowchoice.h"

#include "core/blackboard.h"
#include "core/packets/flowplacement.h"

#include <flamingograde/config.h>

namespace flamingograde {

namespace {

/// An upstream that is slow after its start counts as if it had this share of its slots.
constexpr double coldShare = 0.5;

/// Returns how busy an upstream would be with one flow more.
auto loadOf(const Blackboard &board, std::uint32_t index) -> double
{
    const auto &entry = board.directory.at(index);
    const auto slots = static_cast<double>(entry.record.upstream.slots)
                       * (board.now.mono < entry.warmAt ? coldShare : 1.0);
    return (entry.evidence.busy + 1) / slots;
}

/// Returns whether a candidate is not to be avoided and its cold limit, if any, allows a flow.
auto isEligible(const Blackboard &board, std::uint32_t index, const NewFlow &flow) -> bool
{
    return flow.avoid != index && board.directory.at(index).hasColdRoom();
}

/// Keeps the least busy of the upstreams that are offered.
class LeastBusy
{
public:
    LeastBusy(Blackboard &blackboard, const NewFlow &newFlow) : board(blackboard), flow(newFlow) {}

    auto offer(std::uint32_t index) -> void
    {
        if (!isEligible(this->board, index, this->flow)) {
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

/// Returns the candidate at `start`, or the next one where that is to be avoided.
auto from(const Blackboard &board, const FlowCandidates &candidates, std::uint64_t start,
          const NewFlow &flow) -> std::optional<std::uint32_t>
{
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto index = candidates[(start + i) % candidates.size()];
        if (isEligible(board, index, flow)) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace

auto ChooseLeastBusy::choose(Blackboard &board, const FlowCandidates &candidates,
                             const NewFlow &flow) const -> std::optional<std::uint32_t>
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

auto ChooseRandom::choose(Blackboard &board, const FlowCandidates &candidates,
                          const NewFlow &flow) const -> std::optional<std::uint32_t>
{
    return from(board, candidates, board.random(), flow);
}

auto ChooseByHash::choose(Blackboard &board, const FlowCandidates &candidates,
                          const NewFlow &flow) const -> std::optional<std::uint32_t>
{
    return from(board, candidates, flow.hash, flow);
}

auto choiceOf(PacketPolicy policy) -> FlowChoice
{
    switch (policy) {
    case PacketPolicy::LeastBusy:
        break;
    case PacketPolicy::Random:
        return ChooseRandom();
    case PacketPolicy::Hash:
        return ChooseByHash();
    }
    return ChooseLeastBusy();
}

} // namespace flamingograde
