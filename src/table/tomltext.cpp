/// Reads TOML on past its syntax errors.
///
/// A faulty text is read section by section, so that the time does not grow with the number of
/// its errors; then once more as a whole, for what sections do to each other.
#include "table/tomltext.h"

#include "table/fieldreader.h"
#include "table/tomldraft.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <string>
#include <utility>

namespace flamingograde {

namespace {

constexpr std::size_t wholeBytesMax = 4 * config::tableBytesMax; // Bounds the time to refuse.

/// Finds the syntax errors of a text.
class ErrorSearch
{
public:
    ErrorSearch(std::string_view text, TomlText &result, FindingList &list)
        : draft(text), read(result), findings(list)
    {}

    auto run() -> void
    {
        for (const auto section : this->draft.sections()) {
            if (!this->readSection(section)) {
                this->draft.strikeOutContent(section);
            }
            if (this->errors == config::syntaxFindingsMax) {
                return;
            }
        }
        this->readWhole();
    }

private:
    auto readWhole() -> void
    {
        std::size_t bytes = 0;
        while (bytes < wholeBytesMax && this->errors < config::syntaxFindingsMax) {
            const auto text = this->draft.textOf(this->draft.all());
            bytes += text.size();
            auto whole = toml::parse(text);
            if (whole) {
                this->read.root = std::move(whole).table();
                return;
            }
            if (!this->strikeOut(whole.error(), 0)) {
                return;
            }
        }
    }

    /// Returns whether the section is readable, if need be without some of its lines.
    auto readSection(LineRange section) -> bool
    {
        auto part = toml::parse(this->draft.textOf(section));
        while (!part) {
            if (this->errors == config::syntaxFindingsMax
                || !this->strikeOut(part.error(), section.begin)) {
                return false;
            }
            part = toml::parse(this->draft.textOf(section));
        }
        return true;
    }

    /// Reports an error and strikes its line out.
    /// @returns whether there was anything to strike out.
    auto strikeOut(const toml::parse_error &error, std::size_t firstLine) -> bool
    {
        auto place = placeOf(error.source());
        place.line += static_cast<std::uint32_t>(firstLine);
        this->findings.add(place, std::string(error.description()), "mend the TOML here");
        ++this->errors;
        const auto line = std::min<std::size_t>(place.line, this->draft.all().end) - 1;
        const auto header = this->draft.headerOf(line) + 1;
        this->read.brokenSections.insert(static_cast<std::uint32_t>(header));
        return this->draft.strikeOut(line);
    }

    TomlDraft draft;
    TomlText &read;
    FindingList &findings;
    std::size_t errors = 0;
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
    ErrorSearch(text, read, findings).run();
    return read;
}

} // namespace flamingograde
