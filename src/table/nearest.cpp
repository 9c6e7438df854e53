/// Finds the word that was probably meant, by the optimal string alignment distance.
#include "table/nearest.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace flamingograde {

namespace {

constexpr std::size_t lettersMax = 32; // Longer words are no slip of a known one.
constexpr std::size_t lettersPerSlip = 3;

/// Counts the letters to add, drop, replace or swap with their neighbour to turn `a` into `b`.
auto distance(std::string_view a, std::string_view b) -> std::size_t
{
    std::vector<std::vector<std::size_t>> slips(a.size() + 1,
                                                std::vector<std::size_t>(b.size() + 1));
    std::iota(slips[0].begin(), slips[0].end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        slips[i][0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const auto replaced = slips[i - 1][j - 1] + (a[i - 1] == b[j - 1] ? 0 : 1);
            slips[i][j] = std::min({ replaced, slips[i - 1][j] + 1, slips[i][j - 1] + 1 });
            if (i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1]) {
                slips[i][j] = std::min(slips[i][j], slips[i - 2][j - 2] + 1);
            }
        }
    }
    return slips.back().back();
}

} // namespace

auto nearestWord(std::string_view word, const std::vector<std::string_view> &known)
        -> std::string_view
{
    if (word.size() > lettersMax) {
        return {};
    }
    std::string_view nearest;
    auto best = 1 + std::max<std::size_t>(1, word.size() / lettersPerSlip);
    for (const auto candidate : known) {
        const auto letters = distance(word, candidate);
        if (letters < best) {
            best = letters;
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
