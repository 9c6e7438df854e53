/// Weighted rendezvous hashing by logarithmic scores: score = -weight / ln(u), where u is the
/// hash of key and node as a number between 0 and 1.
#include "core/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace flamingograde {

namespace {

/// Bits of the hash that are used: a double represents them plus 0.5 exactly.
constexpr int hashBits = 52;

/// Maps the upper bits of `hash` to a number above 0 and below 1.
auto unitInterval(std::uint64_t hash) -> double
{
    const auto top = static_cast<double>(hash >> (64 - hashBits));
    return (top + 0.5) * 0x1p-52;
}

/// Returns whether node A is preferred to node B: a higher score wins, and the lower id on a tie.
auto isBefore(double scoreA, std::uint64_t idA, double scoreB, std::uint64_t idB) -> bool
{
    return scoreA != scoreB ? scoreA > scoreB : idA < idB;
}

} // namespace

auto rendezvousScore(std::uint64_t key, RendezvousNode node) -> double
{
    if (node.weight <= 0) {
        return 0;
    }
    const std::array<std::uint64_t, 2> parts { key, node.id };
    const auto hash = XXH3_64bits(parts.data(), sizeof(parts));
    return -node.weight / std::log(unitInterval(hash));
}

auto rendezvousPick(std::uint64_t key, const std::vector<RendezvousNode> &nodes) -> std::size_t
{
    auto best = rendezvousNone;
    double bestScore = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (nodes[i].weight <= 0) {
            continue;
        }
        const auto score = rendezvousScore(key, nodes[i]);
        if (best == rendezvousNone || isBefore(score, nodes[i].id, bestScore, nodes[best].id)) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

auto rendezvousOrder(std::uint64_t key, const std::vector<RendezvousNode> &nodes)
        -> std::vector<std::size_t>
{
    std::vector<std::size_t> order;
    std::vector<double> scores(nodes.size());
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (nodes[i].weight > 0) {
            order.push_back(i);
            scores[i] = rendezvousScore(key, nodes[i]);
        }
    }
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return isBefore(scores[a], nodes[a].id, scores[b], nodes[b].id);
    });
    return order;
}

} // namespace flamingograde
