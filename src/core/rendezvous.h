/// Weighted rendezvous hashing: assigns each key to one of several nodes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace flamingograde {

/// One of the nodes between which keys are distributed.
struct RendezvousNode
{
    std::uint64_t id = 0;
    double weight = 1.0; ///< Relative share of the keys; 0 or less: gets none.
};

/// "No node" as the result of `rendezvousPick`.
inline constexpr auto rendezvousNone = static_cast<std::size_t>(-1);

/// Returns the score of `node` for `key`; the highest score wins.
///
/// When the weight of a node changes, only keys of that node move, to it or away from it.
/// @remarks Thread safe. All hosts get the same result for the same numbers.
[[nodiscard]] auto rendezvousScore(std::uint64_t key, RendezvousNode node) -> double;

/// Returns the index of the node with the highest score, or `rendezvousNone` if no node has a
/// weight above 0.
/// @remarks Thread safe. The order of `nodes` does not matter, as the lower id wins a tie.
[[nodiscard]] auto rendezvousPick(std::uint64_t key, const std::vector<RendezvousNode> &nodes)
        -> std::size_t;

/// Returns the indices of all nodes with a weight above 0, by falling score.
/// @remarks Thread safe.
[[nodiscard]] auto rendezvousOrder(std::uint64_t key, const std::vector<RendezvousNode> &nodes)
        -> std::vector<std::size_t>;

} // namespace flamingograde
