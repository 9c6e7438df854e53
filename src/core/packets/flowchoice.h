/// Strategies that choose one of several upstreams for a new flow.
#pragma once

#include <flamingograde/packetpolicy.h>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace flamingograde {

class Blackboard;
struct NewFlow;
struct SubsetMember;

using FlowCandidates = std::vector<std::uint32_t>; ///< Indices of entries in the directory.

/// Returns the member of this host's subset with the shortest expected wait, or nothing if the
/// subset has none that may take the flow. Precondition: the subset is of one service.
[[nodiscard]] auto chooseFromSubset(Blackboard &board, const std::vector<SubsetMember> &subset,
                                    const NewFlow &flow) -> std::optional<std::uint32_t>;

/// Chooses the upstream with the fewest requests per slot, and among equals one at random.
///
/// Up to `config::placementScan` candidates are all compared; of more, `config::placementDraws` are
/// drawn at random and compared, so that a placement takes less than a microsecond for a service of
/// any size.
struct ChooseLeastBusy
{
    [[nodiscard]] auto choose(Blackboard &board, const FlowCandidates &candidates,
                              const NewFlow &flow) const -> std::optional<std::uint32_t>;
};

/// Chooses an upstream at random, each with the same probability. Serves as a baseline.
struct ChooseRandom
{
    [[nodiscard]] auto choose(Blackboard &board, const FlowCandidates &candidates,
                              const NewFlow &flow) const -> std::optional<std::uint32_t>;
};

/// Chooses by the hash of the flow's addresses and ports. Serves as a baseline.
struct ChooseByHash
{
    [[nodiscard]] auto choose(Blackboard &board, const FlowCandidates &candidates,
                              const NewFlow &flow) const -> std::optional<std::uint32_t>;
};

using FlowChoice = std::variant<ChooseLeastBusy, ChooseRandom, ChooseByHash>;

/// Returns the strategy that a policy stands for. Thread safe.
[[nodiscard]] auto flowChoiceOf(PacketPolicy policy) -> FlowChoice;

} // namespace flamingograde
