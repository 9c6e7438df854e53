/// Revisions of tables and of the directory.
#pragma once

#include <cstdint>

namespace flamingograde {

/// A revision, assigned by the platform. The number 0 means "none yet" and is invalid.
///
/// Numbers rise within an epoch. When the platform is restored from an older copy of its data, an
/// epoch begins: numbers go back and are assigned again, so the epoch decides which is newer.
struct Revision
{
    std::uint64_t number = 0;
    std::uint32_t epoch = 0; ///< 0 if the platform or the sender names none.

    /// Returns whether this is a revision that the platform assigned.
    [[nodiscard]] constexpr auto isValid() const -> bool { return this->number != 0; }

    friend constexpr auto operator==(Revision a, Revision b) -> bool
    {
        return a.epoch == b.epoch && a.number == b.number;
    }
    friend constexpr auto operator!=(Revision a, Revision b) -> bool { return !(a == b); }
    friend constexpr auto operator<(Revision a, Revision b) -> bool
    {
        return a.epoch != b.epoch ? a.epoch < b.epoch : a.number < b.number;
    }
};

} // namespace flamingograde
