/// Revisions of tables and of the directory.
#pragma once

#include <cstdint>

namespace flamingograde {

/// A revision, assigned by the platform; it only rises. 0 means "none yet" and is invalid.
struct Revision
{
    std::uint64_t number = 0;
    std::uint32_t epoch = 0; ///< Rises when the platform is restored from an older copy.

    /// Returns whether this is a revision that the platform assigned.
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
