/// A faulty TOML text from which lines are struck out.
#pragma once

#include "table/place.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace flamingograde {

/// Some lines of a text, from `begin` to before `end`, counted from 0.
struct LineRange
{
    std::size_t begin = 0;
    std::size_t end = 0;
};

/// The lines of a faulty TOML text. Lines are counted from 0.
/// @remarks Not thread safe.
class TomlDraft
{
public:
    /// The name of the section under which the contents of unreadable headers are gathered.
    static constexpr std::string_view lostSection = "unreadable-section";

    /// @param text the text. Precondition: it outlives this draft.
    explicit TomlDraft(std::string_view text);

    /// Returns the sections: what comes before the first header, then one for each header.
    /// Precondition: none.
    [[nodiscard]] auto sections() const -> std::vector<LineRange>;

    /// Returns all lines. Precondition: none.
    [[nodiscard]] auto all() const -> LineRange { return { 0, this->lines.size() }; }

    /// Returns the text of some lines. Precondition: the range is within the text.
    [[nodiscard]] auto textOf(LineRange range) const -> std::string;

    /// Returns the header's line of the section that holds `line`, or 0. Precondition: none.
    [[nodiscard]] auto headerOf(std::size_t line) const -> std::size_t;

    /// Empties a line; a header is replaced by that of the lost section.
    /// @returns whether there was anything to strike out.
    /// Precondition: none.
    auto strikeOut(std::size_t line) -> bool;

    /// Empties all lines of a section but its header. Precondition: the range is within the text.
    auto strikeOutContent(LineRange section) -> void;

private:
    static constexpr std::string_view lostHeader = "[[unreadable-section]]";

    std::vector<std::string_view> lines;
};

} // namespace flamingograde
