/// Formats cells of text in aligned columns.
#include "table/textgrid.h"

#include <algorithm>
#include <utility>

namespace flamingograde {

namespace {

constexpr std::size_t columnGap = 2;

} // namespace

TextGrid::TextGrid(std::vector<std::string> titles)
{
    this->lines.push_back(std::move(titles));
}

auto TextGrid::addLine(std::vector<std::string> cells) -> void
{
    this->lines.push_back(std::move(cells));
}

auto TextGrid::toString() const -> std::string
{
    const auto columns = this->lines.front().size();
    std::vector<std::size_t> widths;
    std::vector<bool> numeric;
    for (std::size_t column = 0; column < columns; ++column) {
        widths.push_back(this->widthOf(column));
        numeric.push_back(this->isNumeric(column));
    }
    std::string text;
    for (const auto &line : this->lines) {
        std::string aligned;
        for (std::size_t column = 0; column < columns; ++column) {
            const std::string padding(widths[column] - line[column].size(), ' ');
            aligned += numeric[column] ? padding + line[column] : line[column] + padding;
            aligned.append(columnGap, ' ');
        }
        aligned.erase(aligned.find_last_not_of(' ') + 1);
        text += aligned + "\n";
    }
    return text;
}

auto TextGrid::widthOf(std::size_t column) const -> std::size_t
{
    std::size_t width = 0;
    for (const auto &line : this->lines) {
        width = std::max(width, line[column].size());
    }
    return width;
}

auto TextGrid::isNumeric(std::size_t column) const -> bool
{
    return std::all_of(this->lines.begin() + 1, this->lines.end(), [column](const auto &line) {
        return line[column].find_first_not_of("0123456789%") == std::string::npos;
    });
}

} // namespace flamingograde
