/// Suggests corrections for misspelled words.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace flamingograde {

/// Returns the word in `known` with the least edit distance to `word`, or an empty string if none
/// is close enough.
/// @remarks Thread safe.
[[nodiscard]] auto nearestWord(std::string_view word, const std::vector<std::string_view> &known)
        -> std::string_view;

/// Returns the words as one string, such as "a, b or c".
/// @remarks Thread safe.
[[nodiscard]] auto joinWords(const std::vector<std::string_view> &words) -> std::string;

} // namespace flamingograde
