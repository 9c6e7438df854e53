/// Reads a table from TOML.
#pragma once

#include <flamingograde/finding.h>
#include <flamingograde/table.h>

#include <tl/expected.hpp>

#include <string_view>

namespace flamingograde {

/// Reads and checks the table in `text`.
/// @param text the TOML text; up to `config::tableBytesMax`.
/// @param file the name that findings carry.
/// @returns the table, or every fault found.
/// @remarks Thread safe. Throws nothing.
[[nodiscard]] auto parseTable(std::string_view text, std::string_view file)
        -> tl::expected<Table, Findings>;

} // namespace flamingograde
