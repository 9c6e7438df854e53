/// The age of a table.
#pragma once

#include <cstdint>

namespace flamingograde {

/// A table's revision. The platform gives it; it only rises. 0 stands for "no table yet".
struct Revision
{
    std::uint64_t number = 0;

    /// Returns whether this is the revision of a table.
    [[nodiscard]] constexpr auto isValid() const -> bool { return this->number != 0; }

    friend constexpr auto operator==(Revision a, Revision b) -> bool
    {
        return a.number == b.number;
    }
    friend constexpr auto operator!=(Revision a, Revision b) -> bool
    {
        return a.number != b.number;
    }
    friend constexpr auto operator<(Revision a, Revision b) -> bool { return a.number < b.number; }
};

} // namespace flamingograde
