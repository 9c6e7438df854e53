/// Suggests the known word closest to a misspelled one, by optimal string alignment distance.
#include "table/nearest.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace flamingograde {

namespace {

constexpr std::size_t wordLengthMax = 32; // Longer words are not misspellings of known ones.
constexpr std::size_t lettersPerEdit = 3; // One edit is accepted per three letters, at least one.

/// Returns the least number of insertions, deletions, substitutions and swaps of adjacent letters
/// that turn `a` into `b`.
auto editDistance(std::string_view a, std::string_view b) -> std::size_t
{
    std::vector<std::vector<std::size_t>> edits(a.size() + 1,
                                                std::vector<std::size_t>(b.size() + 1));
    std::iota(edits[0].begin(), edits[0].end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        edits[i][0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const auto replaced = edits[i - 1][j - 1] + (a[i - 1] == b[j - 1] ? 0 : 1);
            edits[i][j] = std::min({ replaced, edits[i - 1][j] + 1, edits[i][j - 1] + 1 });
            if (i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1]) {
                edits[i][j] = std::min(edits[i][j], edits[i - 2][j - 2] + 1);
            }
        }
    }
    return edits.back().back();
}

} // namespace

auto nearestWord(std::string_view word, const std::vector<std::string_view> &known)
        -> std::string_view
{
    if (word.size() > wordLengthMax) {
        return {};
    }
    std::string_view nearest;
    auto bestDistance = 1 + std::max<std::size_t>(1, word.size() / lettersPerEdit);
    for (const auto candidate : known) {
        const auto distance = editDistance(word, candidate);
        if (distance < bestDistance) {
            bestDistance = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

auto joinWords(const std::vector<std::string_view> &words) -> std::string
{
    std::string text;
    for (std::size_t i = 0; i < words.size(); ++i) {
        if (i != 0) {
            text += i + 1 == words.size() ? " or " : ", ";
        }
        text += words[i];
    }
    return text;
}

} // namespace flamingograde
