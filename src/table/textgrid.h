/// Formats cells of text in aligned columns.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace flamingograde {

/// A grid of text with a header line. A column is right-aligned if its cells, except the header,
/// have only digits and percent signs or are empty; other columns are left-aligned.
/// @remarks Not thread safe.
class TextGrid
{
public:
    /// @param titles the cells of the header line. Precondition: not empty.
    explicit TextGrid(std::vector<std::string> titles);

    /// Adds a line. Precondition: `cells` has as many elements as the header.
    auto addLine(std::vector<std::string> cells) -> void;

    /// Returns the aligned lines, each followed by a line feed. Precondition: none.
    [[nodiscard]] auto toString() const -> std::string;

private:
    [[nodiscard]] auto widthOf(std::size_t column) const -> std::size_t;
    [[nodiscard]] auto isNumeric(std::size_t column) const -> bool;

    std::vector<std::vector<std::string>> lines;
};

} // namespace flamingograde
