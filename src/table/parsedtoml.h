/// Parses TOML and continues after syntax errors.
#pragma once

#include "table/findinglist.h"
#include "table/tomllines.h"

#include <toml++/toml.h>

#include <cstdint>
#include <string_view>
#include <unordered_set>

namespace flamingograde {

/// The parts of a TOML text that could be parsed.
struct ParsedToml
{
    static constexpr auto placeholderSection = TomlLines::placeholderSection;

    toml::table root;
    bool hasNoSyntaxErrors = true; ///< Whether the text has no syntax errors.
    std::unordered_set<std::uint32_t> sectionsWithErrors; ///< Header lines of sections with errors.
};

/// Parses `text`. At each syntax error, adds a finding, skips the faulty line and continues.
/// @param text the TOML text.
/// @param findings receives at most `config::syntaxFindingsMax` syntax errors.
/// @returns the parts that could be parsed.
/// @remarks Thread safe.
[[nodiscard]] auto parseTomlWithErrors(std::string_view text, FindingList &findings) -> ParsedToml;

} // namespace flamingograde
