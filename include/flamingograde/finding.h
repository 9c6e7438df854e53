/// A fault found in a text that an operator wrote.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace flamingograde {

/// A fault with its position and a proposed correction.
struct Finding
{
    std::string file;         ///< The file, or "table" for a table read from the platform.
    std::uint32_t line = 0;   ///< Counted from 1; 0 if the fault has no position.
    std::uint32_t column = 0; ///< Counted from 1; 0 if the fault has no position.
    std::string message;      ///< Description of the fault.
    std::string hint;         ///< How to correct it.

    /// Returns "FILE:LINE:COLUMN: MESSAGE (HINT)".
    [[nodiscard]] auto toString() const -> std::string;
};

using Findings = std::vector<Finding>; ///< All faults of one text, ordered by position.

} // namespace flamingograde
