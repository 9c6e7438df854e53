/// Finds the word that was probably meant, by Levenshtein's distance.
#include "table/nearest.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace flamingograde {

namespace {

constexpr std::size_t lettersMax = 32; // Longer words are no slip of a known one.
constexpr std::size_t lettersPerSlip = 3;

auto distance(std::string_view a, std::string_view b) -> std::size_t
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 0; i < a.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j) {
            const auto replaced = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({ replaced, row[j] + 1, row[j + 1] + 1 });
        }
    }
    return row.back();
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
