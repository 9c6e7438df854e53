/// What an edit of the table changes.
#pragma once

#include <string>
#include <vector>

namespace flamingograde {

class Table;

/// One change between two tables, in words.
struct TableChange
{
    std::string what; ///< What changes, such as "row "papers": weight 1 -> 2".
    std::string risk; ///< What is dangerous about it and what to do instead; empty for nothing.

    /// Returns whether the change may do harm. Precondition: none.
    /// @remarks Thread safe.
    [[nodiscard]] auto isDangerous() const -> bool { return !this->risk.empty(); }

    /// Returns "WHAT", or "warning: WHAT: RISK". Precondition: none.
    /// @remarks Thread safe.
    [[nodiscard]] auto toString() const -> std::string;
};

/// Returns what changes when `after` takes the place of `before`: token keys, rows, upstreams,
/// then what this means for whole services.
/// @remarks Thread safe.
[[nodiscard]] auto diffTables(const Table &before, const Table &after) -> std::vector<TableChange>;

} // namespace flamingograde
