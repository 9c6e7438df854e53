/// Reads TOML on past its syntax errors.
#include "table/tomltext.h"

#include "table/fieldreader.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <string>
#include <utility>

namespace flamingograde {

namespace {

constexpr std::string_view blanks = " \t\r";

/// The text of a table from which faulty lines are struck out.
class Draft
{
public:
    explicit Draft(std::string_view whole) : text(whole) {}

    [[nodiscard]] auto view() const -> std::string_view { return this->text; }

    /// Returns whether line `number` has anything to strike out.
    [[nodiscard]] auto hasContent(std::uint32_t number) const -> bool
    {
        const auto content = this->line(number);
        return content.find_first_not_of(blanks) != std::string_view::npos
               && content != Draft::lostHeader();
    }

    /// Returns whether line `number` is a section's header.
    [[nodiscard]] auto isHeader(std::uint32_t number) const -> bool
    {
        const auto content = this->line(number);
        const auto first = content.find_first_not_of(blanks);
        return first != std::string_view::npos && content[first] == '[';
    }

    /// Returns the line of the header above `number`, or 0.
    [[nodiscard]] auto headerOf(std::uint32_t number) const -> std::uint32_t
    {
        while (number > 0 && !this->isHeader(number)) {
            --number;
        }
        return number;
    }

    /// Empties line `number`; a header is replaced by that of the lost section.
    auto strikeOut(std::uint32_t number) -> void
    {
        const auto old = this->line(number);
        const auto begin = static_cast<std::size_t>(old.data() - this->text.data());
        const auto length = old.size();
        this->text.replace(begin, length, this->isHeader(number) ? Draft::lostHeader() : "");
    }

private:
    static auto lostHeader() -> std::string
    {
        return "[[" + std::string(TomlText::lostSection) + "]]";
    }

    [[nodiscard]] auto line(std::uint32_t number) const -> std::string_view
    {
        std::size_t begin = 0;
        for (std::uint32_t i = 1; i < number && begin != std::string::npos; ++i) {
            const auto end = this->text.find('\n', begin);
            begin = end == std::string::npos ? end : end + 1;
        }
        if (number == 0 || begin == std::string::npos) {
            return {};
        }
        return this->view().substr(begin, this->text.find('\n', begin) - begin);
    }

    std::string text;
};

} // namespace

auto readToml(std::string_view text, FindingList &findings) -> TomlText
{
    TomlText read;
    auto result = toml::parse(text);
    if (result) {
        read.root = std::move(result).table();
        return read;
    }
    read.isWhole = false;
    Draft draft(text);
    std::size_t bytes = 0;
    for (std::size_t errors = 0; !result && errors < config::syntaxFindingsMax; ++errors) {
        const auto place = placeOf(result.error().source());
        findings.add(place, std::string(result.error().description()), "mend the TOML here");
        bytes += draft.view().size();
        if (!draft.hasContent(place.line) || bytes > config::syntaxBytesMax) {
            return read;
        }
        read.brokenSections.insert(draft.headerOf(place.line));
        draft.strikeOut(place.line);
        result = toml::parse(draft.view());
    }
    if (result) {
        read.root = std::move(result).table();
    }
    return read;
}

} // namespace flamingograde
