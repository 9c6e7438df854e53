/// Parses TOML and continues after syntax errors.
#pragma once

#include "table/findinglist.h"
#include "table/tomldraft.h"

#include <toml++/toml.h>

#include <cstdint>
#include <string_view>
#include <unordered_set>

namespace flamingograde {

/// The parts of a TOML text that could be parsed.
struct TomlText
{
    static constexpr auto placeholderSection = TomlDraft::placeholderSection;

    toml::table root;
    bool isWhole = true;                              ///< Whether the text has no syntax errors.
    std::unordered_set<std::uint32_t> brokenSections; ///< Header lines of sections with errors.
};

/// Parses `text`. At each syntax error, adds a finding, skips the faulty line and continues.
/// @param text the TOML text.
/// @param findings receives at most `config::syntaxFindingsMax` syntax errors.
/// @returns the parts that could be parsed.
/// @remarks Thread safe.
[[nodiscard]] auto readToml(std::string_view text, FindingList &findings) -> TomlText;

} // namespace flamingograde
