/// A place in a text.
#pragma once

#include <cstdint>

namespace flamingograde {

/// A line and a column, both counted from 1; 0 for no place.
struct Place
{
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

} // namespace flamingograde
