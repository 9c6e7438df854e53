/// Finds the word that was probably meant.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace flamingograde {

/// Returns the word of `known` that differs least from `word`, or an empty text where none is near.
/// @remarks Thread safe.
[[nodiscard]] auto nearestWord(std::string_view word, const std::vector<std::string_view> &known)
        -> std::string_view;

/// Returns the words joined as "a, b or c".
/// @remarks Thread safe.
[[nodiscard]] auto joinWords(const std::vector<std::string_view> &words) -> std::string;

} // namespace flamingograde
