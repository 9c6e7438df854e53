/// The lines of a TOML text with syntax errors, which can be cleared one by one.
#include "table/tomllines.h"

namespace flamingograde {

namespace {

constexpr std::string_view blanks = " \t\r";

auto isBlank(std::string_view line) -> bool
{
    return line.find_first_not_of(blanks) == std::string_view::npos;
}

auto isHeader(std::string_view line) -> bool
{
    return !isBlank(line) && line[line.find_first_not_of(blanks)] == '[';
}

} // namespace

TomlLines::TomlLines(std::string_view text)
{
    auto end = text.find('\n');
    while (end != std::string_view::npos) {
        this->lines.push_back(text.substr(0, end));
        text.remove_prefix(end + 1);
        end = text.find('\n');
    }
    this->lines.push_back(text);
}

auto TomlLines::sections() const -> std::vector<LineRange>
{
    std::vector<LineRange> sections { {} };
    for (std::size_t line = 0; line < this->lines.size(); ++line) {
        if (isHeader(this->lines[line])) {
            sections.back().end = line;
            sections.push_back({ line, line });
        }
    }
    sections.back().end = this->lines.size();
    return sections;
}

auto TomlLines::textOf(LineRange range) const -> std::string
{
    std::string text;
    for (auto line = range.begin; line < range.end; ++line) {
        text += this->lines[line];
        text += '\n';
    }
    return text;
}

auto TomlLines::headerOf(std::size_t line) const -> std::size_t
{
    while (line > 0 && !isHeader(this->lines[line])) {
        --line;
    }
    return line;
}

auto TomlLines::clearLine(std::size_t line) -> bool
{
    if (line >= this->lines.size() || isBlank(this->lines[line])
        || this->lines[line] == TomlLines::placeholderHeader) {
        return false;
    }
    this->lines[line] =
            isHeader(this->lines[line]) ? TomlLines::placeholderHeader : std::string_view();
    return true;
}

auto TomlLines::clearContent(LineRange section) -> void
{
    for (auto line = section.begin; line < section.end; ++line) {
        if (!isHeader(this->lines[line])) {
            this->lines[line] = {};
        }
    }
}

} // namespace flamingograde
