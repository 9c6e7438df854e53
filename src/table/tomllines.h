/// The lines of a TOML text with syntax errors, which can be cleared one by one.
#pragma once

#include "table/textposition.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace flamingograde {

/// A half-open range of lines: from `begin` up to but not including `end`, counted from 0.
struct LineRange
{
    std::size_t begin = 0;
    std::size_t end = 0;
};

/// The lines of a TOML text with syntax errors, counted from 0. Clearing the faulty lines lets the
/// rest be parsed; line numbers do not change.
/// @remarks Not thread safe.
class TomlLines
{
public:
    /// The name of the section that replaces each section whose header cannot be parsed.
    static constexpr std::string_view placeholderSection = "unreadable-section";

    /// @param text the text. Precondition: it outlives this draft.
    explicit TomlLines(std::string_view text);

    /// Returns the line ranges of the sections: the lines before the first header, then one range
    /// for each header with the lines below it. Precondition: none.
    [[nodiscard]] auto sections() const -> std::vector<LineRange>;

    /// Returns the range of all lines. Precondition: none.
    [[nodiscard]] auto all() const -> LineRange { return { 0, this->lines.size() }; }

    /// Returns the text of the lines in `range`. Precondition: the range is within the text.
    [[nodiscard]] auto textOf(LineRange range) const -> std::string;

    /// Returns the header line of the section that contains `line`, or 0 if `line` is before the
    /// first header. Precondition: none.
    [[nodiscard]] auto headerOf(std::size_t line) const -> std::size_t;

    /// Clears a line; a header is replaced by the header of the placeholder section.
    /// @returns whether the line changed: false if it was blank, already replaced or past the end.
    /// Precondition: none.
    auto clearLine(std::size_t line) -> bool;

    /// Clears all lines of a section except its header.
    /// Precondition: the range is within the text.
    auto clearContent(LineRange section) -> void;

private:
    static constexpr std::string_view placeholderHeader = "[[unreadable-section]]";

    std::vector<std::string_view> lines;
};

} // namespace flamingograde
