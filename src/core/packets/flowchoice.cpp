/// Strategies that choose one of several upstreams for a new flow.
#include "core/packets/flowchoice.h"

#include "core/blackboard.h"
#include "core/packets/flowplacement.h"

#include <flamingograde/config.h>

namespace flamingograde {

namespace {

/// An upstream that is still warming up counts as if it had only this share of its slots.
constexpr double coldSlotShare = 0.5;

/// Returns the requests per slot of an upstream if it took one more flow.
auto loadOf(const Blackboard &board, std::uint32_t index) -> double
{
    const auto &entry = board.directory.at(index);
    const auto slots = static_cast<double>(entry.record.upstream.slots)
                       * (board.now.mono < entry.warmAt ? coldSlotShare : 1.0);
    return (entry.evidence.pending + 1) / slots;
}

/// Returns whether the flow need not avoid a candidate and its cold limit, if any, allows a flow.
auto isEligible(const Blackboard &board, std::uint32_t index, const NewFlow &flow) -> bool
{
    return flow.avoid != index && board.directory.at(index).coldLimitAllowsFlow();
}

/// Finds the least busy of the candidates that it is given.
class LeastBusySearch
{
public:
    LeastBusySearch(Blackboard &blackboard, const NewFlow &newFlow)
        : board(blackboard), flow(newFlow)
    {}

    auto consider(std::uint32_t index) -> void
    {
        if (!isEligible(this->board, index, this->flow)) {
            return;
        }
        const auto load = loadOf(this->board, index);
        if (this->best && load > this->bestLoad) {
            return;
        }
        this->ties = this->best && load == this->bestLoad ? this->ties + 1 : 1;
        if (this->ties == 1 || this->board.random() % this->ties == 0) {
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
    std::uint32_t ties = 0;
};

/// Returns the first eligible candidate from position `start` on, wrapping around at the end.
auto firstEligible(const Blackboard &board, const FlowCandidates &candidates, std::uint64_t start,
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
    LeastBusySearch search(board, flow);
    if (candidates.size() <= config::placementScan) {
        for (const auto index : candidates) {
            search.consider(index);
        }
        return search.result();
    }
    for (std::size_t draw = 0; draw < config::placementDraws; ++draw) {
        search.consider(candidates[board.random() % candidates.size()]);
    }
    return search.result();
}

auto ChooseRandom::choose(Blackboard &board, const FlowCandidates &candidates,
                          const NewFlow &flow) const -> std::optional<std::uint32_t>
{
    return firstEligible(board, candidates, board.random(), flow);
}

auto ChooseByHash::choose(Blackboard &board, const FlowCandidates &candidates,
                          const NewFlow &flow) const -> std::optional<std::uint32_t>
{
    return firstEligible(board, candidates, flow.hash, flow);
}

auto flowChoiceOf(PacketPolicy policy) -> FlowChoice
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
