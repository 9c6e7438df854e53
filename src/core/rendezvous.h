/// Weighted rendezvous hashing: which of several nodes a key belongs to.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace flamingograde {

/// One candidate of a rendezvous.
struct RendezvousNode
{
    std::uint64_t id = 0;
    double weight = 1.0; ///< Share of the keys; 0 or less: gets none.
};

/// "No node" as the result of `rendezvousPick`.
inline constexpr auto rendezvousNone = static_cast<std::size_t>(-1);

/// Returns the score of `node` for `key`; the highest score wins.
///
/// A change of one node's weight moves only keys to or from that node.
/// @remarks Thread safe. All hosts get the same result for the same numbers.
[[nodiscard]] auto rendezvousScore(std::uint64_t key, RendezvousNode node) -> double;

/// Returns the index of the winner, or `rendezvousNone` where no node has a weight.
/// @remarks Thread safe. The order of `nodes` does not matter, as the lower id wins a tie.
[[nodiscard]] auto rendezvousPick(std::uint64_t key, const std::vector<RendezvousNode> &nodes)
        -> std::size_t;

/// Returns the indices of all nodes that have a weight, the winner first.
/// @remarks Thread safe.
[[nodiscard]] auto rendezvousOrder(std::uint64_t key, const std::vector<RendezvousNode> &nodes)
        -> std::vector<std::size_t>;

} // namespace flamingograde
