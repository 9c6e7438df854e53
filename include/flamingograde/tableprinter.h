/// Formats tables for operators.
#pragma once

#include <string>

namespace flamingograde {

class Table;

/// Returns the table as text in aligned columns: rows, upstreams, a summary by service and
/// availability zone, and the token keys without their secrets.
/// @remarks Thread safe.
[[nodiscard]] auto printTable(const Table &table) -> std::string;

} // namespace flamingograde
