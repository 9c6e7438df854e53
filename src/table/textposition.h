/// A position in a text.
#pragma once

#include <cstdint>

namespace flamingograde {

/// Line and column, both counted from 1; 0 if there is no position.
struct TextPosition
{
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

} // namespace flamingograde
