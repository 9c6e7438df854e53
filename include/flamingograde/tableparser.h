/// Parses tables in TOML.
#pragma once

#include <flamingograde/finding.h>
#include <flamingograde/table.h>

#include <tl/expected.hpp>

#include <string_view>

namespace flamingograde {

/// Parses and validates the table in `text`.
/// @param text the TOML text, of up to `config::tableBytesMax` bytes.
/// @param file the file name for findings.
/// @returns the table, or all faults found.
/// @remarks Thread safe. Throws nothing.
[[nodiscard]] auto parseTable(std::string_view text, std::string_view file)
        -> tl::expected<Table, Findings>;

} // namespace flamingograde
