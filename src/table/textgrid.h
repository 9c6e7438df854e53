/// Aligns cells of text in columns.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace flamingograde {

/// A grid of text with a header line; columns whose cells are all numbers are aligned right.
/// @remarks Not thread safe.
class TextGrid
{
public:
    /// @param titles the header's cells. Precondition: not empty.
    explicit TextGrid(std::vector<std::string> titles);

    /// Adds a line. Precondition: as many cells as titles.
    auto addLine(std::vector<std::string> cells) -> void;

    /// Returns the aligned lines, each ended by a line feed. Precondition: none.
    [[nodiscard]] auto toString() const -> std::string;

private:
    [[nodiscard]] auto widthOf(std::size_t column) const -> std::size_t;
    [[nodiscard]] auto isNumeric(std::size_t column) const -> bool;

    std::vector<std::vector<std::string>> lines;
};

} // namespace flamingograde
