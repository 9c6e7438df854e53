/// Reads TOML on past its syntax errors.
#pragma once

#include "table/findinglist.h"
#include "table/tomldraft.h"

#include <toml++/toml.h>

#include <cstdint>
#include <string_view>
#include <unordered_set>

namespace flamingograde {

/// What could be read of a TOML text.
struct TomlText
{
    static constexpr auto lostSection = TomlDraft::lostSection;

    toml::table root;
    bool isWhole = true;                              ///< The text has no syntax error.
    std::unordered_set<std::uint32_t> brokenSections; ///< Lines of headers of sections with one.
};

/// Reads `text`; reports each syntax error, leaves its line out and reads on.
/// @param text the TOML text.
/// @param findings takes the syntax errors.
/// @returns what could be read.
/// @remarks Thread safe.
[[nodiscard]] auto readToml(std::string_view text, FindingList &findings) -> TomlText;

} // namespace flamingograde
