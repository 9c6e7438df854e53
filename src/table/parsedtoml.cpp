/// Parses TOML and continues after syntax errors.
///
/// A text with syntax errors is first parsed section by section: reparsing one section after each
/// error, not the whole text, keeps the time from growing with the number of errors. It is then
/// parsed as a whole to find errors between sections, such as redefinitions.
#include "table/parsedtoml.h"

#include "table/fieldreader.h"
#include "table/tomllines.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <string>
#include <utility>

namespace flamingograde {

namespace {

// Limits the bytes of all reparses of the whole text and thus the time to refuse a faulty text.
constexpr std::size_t reparsedBytesMax = 4 * config::tableBytesMax;

/// Collects the syntax errors of a text and parses what remains without the faulty lines.
class SyntaxErrorCollector
{
public:
    SyntaxErrorCollector(std::string_view text, ParsedToml &result, FindingList &list)
        : draft(text), read(result), findings(list)
    {}

    auto run() -> void
    {
        for (const auto section : this->draft.sections()) {
            if (!this->parseSection(section)) {
                this->draft.clearContent(section);
            }
            if (this->errorCount == config::syntaxFindingsMax) {
                return;
            }
        }
        this->parseWhole();
    }

private:
    auto parseWhole() -> void
    {
        std::size_t bytes = 0;
        while (bytes < reparsedBytesMax && this->errorCount < config::syntaxFindingsMax) {
            const auto text = this->draft.textOf(this->draft.all());
            bytes += text.size();
            auto parsed = toml::parse(text);
            if (parsed) {
                this->read.root = std::move(parsed).table();
                return;
            }
            if (!this->reportAndClear(parsed.error(), 0)) {
                return;
            }
        }
    }

    /// Parses a section and clears its faulty lines.
    /// @returns whether what remains can be parsed.
    auto parseSection(LineRange section) -> bool
    {
        auto parsed = toml::parse(this->draft.textOf(section));
        while (!parsed) {
            if (this->errorCount == config::syntaxFindingsMax
                || !this->reportAndClear(parsed.error(), section.begin)) {
                return false;
            }
            parsed = toml::parse(this->draft.textOf(section));
        }
        return true;
    }

    /// Adds a finding for the error and clears its line.
    /// @param firstLine the line of the text, counted from 0, at which the parsed part begins.
    /// @returns whether the line changed.
    auto reportAndClear(const toml::parse_error &error, std::size_t firstLine) -> bool
    {
        auto position = positionOf(error.source());
        position.line += static_cast<std::uint32_t>(firstLine);
        this->findings.add(position, std::string(error.description()), "fix the TOML syntax here");
        ++this->errorCount;
        const auto line = std::min<std::size_t>(position.line, this->draft.all().end) - 1;
        const auto header = this->draft.headerOf(line) + 1;
        this->read.sectionsWithErrors.insert(static_cast<std::uint32_t>(header));
        return this->draft.clearLine(line);
    }

    TomlLines draft;
    ParsedToml &read;
    FindingList &findings;
    std::size_t errorCount = 0;
};

} // namespace

auto parseTomlWithErrors(std::string_view text, FindingList &findings) -> ParsedToml
{
    ParsedToml read;
    auto result = toml::parse(text);
    if (result) {
        read.root = std::move(result).table();
        return read;
    }
    read.hasNoSyntaxErrors = false;
    SyntaxErrorCollector(text, read, findings).run();
    return read;
}

} // namespace flamingograde
