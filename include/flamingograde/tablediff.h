/// Differences between two tables.
#pragma once

#include <string>
#include <vector>

namespace flamingograde {

class Table;

/// A difference between two tables, as text.
struct TableChange
{
    std::string what; ///< The change, such as "row "papers": weight 1 -> 2".
    std::string risk; ///< Its risk and what to do instead; empty if there is none.

    /// Returns whether the change has a risk. Precondition: none.
    /// @remarks Thread safe.
    [[nodiscard]] auto isDangerous() const -> bool { return !this->risk.empty(); }

    /// Returns "WHAT", or "warning: WHAT: RISK". Precondition: none.
    /// @remarks Thread safe.
    [[nodiscard]] auto toString() const -> std::string;
};

/// Returns the changes when `after` replaces `before`: those of token keys, rows and upstreams,
/// then the effects on whole services.
/// @remarks Thread safe.
[[nodiscard]] auto diffTables(const Table &before, const Table &after) -> std::vector<TableChange>;

} // namespace flamingograde
