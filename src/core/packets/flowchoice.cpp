/// Strategies that choose one of several upstreams for a new flow.
#include "core/packets/flowchoice.h"

#include "core/blackboard.h"
#include "core/packets/flowplacement.h"
#include "core/packets/placementsubset.h"

#include <flamingograde/config.h>

#include <algorithm>

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

/// Returns how many times as long as usual an upstream takes to answer; 1 unless it is clearly
/// slower than the service's other upstreams. What was measured counts less with its age, so that
/// an upstream that was slow is tried again.
auto slownessOf(const Blackboard &board, const UpstreamEvidence &evidence, Duration usual) -> double
{
    using Seconds = std::chrono::duration<double>;
    if (usual <= Duration(0) || evidence.response < usual * config::slowRatio) {
        return 1;
    }
    const auto ratio = Seconds(evidence.response) / Seconds(usual);
    const auto age = Seconds(board.now.mono - evidence.respondedAt) / Seconds(config::slowMemory);
    return 1 + (ratio - 1) / (1 + age);
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

    /// @param part the part of the upstream that falls to this host.
    auto consider(std::uint32_t index, double part = 1) -> void
    {
        if (!isEligible(this->board, index, this->flow)) {
            return;
        }
        const auto &evidence = this->board.directory.at(index).evidence;
        const auto slowness = slownessOf(this->board, evidence, this->flow.usualResponse);
        const auto load = loadOf(this->board, index) * slowness / part;
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

auto chooseFromSubset(Blackboard &board, const std::vector<SubsetMember> &subset,
                      const NewFlow &flow) -> std::optional<std::uint32_t>
{
    LeastBusySearch search(board, flow);
    const auto considerMember = [&](const SubsetMember &member) {
        const auto &entry = board.directory.at(member.upstream);
        if (entry.isPooled && entry.record.upstream.instance == member.instance) {
            search.consider(member.upstream, member.part);
        }
    };
    if (subset.size() <= config::placementScan) {
        std::for_each(subset.begin(), subset.end(), considerMember);
        return search.result();
    }
    for (std::size_t draw = 0; draw < config::placementDraws; ++draw) {
        considerMember(subset[board.random() % subset.size()]);
    }
    return search.result();
}

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
    case PacketPolicy::LeastBusyOfAll:
        break;
    case PacketPolicy::Random:
        return ChooseRandom();
    case PacketPolicy::Hash:
        return ChooseByHash();
    }
    return ChooseLeastBusy();
}

} // namespace flamingograde
