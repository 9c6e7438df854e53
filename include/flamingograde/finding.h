/// One fault found in a text written by an operator.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace flamingograde {

/// A fault with its place and how to mend it.
struct Finding
{
    std::string file;         ///< The file, or "table" for a table read from the platform.
    std::uint32_t line = 0;   ///< Counted from 1; 0 where the fault has no place.
    std::uint32_t column = 0; ///< Counted from 1; 0 where the fault has no place.
    std::string what;         ///< What is wrong.
    std::string mend;         ///< How to mend it.

    /// Returns "FILE:LINE:COLUMN: WHAT (MEND)".
    [[nodiscard]] auto toString() const -> std::string;
};

using Findings = std::vector<Finding>; ///< All faults of one text, in the order of their place.

} // namespace flamingograde
