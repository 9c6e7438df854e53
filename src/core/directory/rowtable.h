/// The packet rows in force, by address.
#pragma once

#include "core/directory/rowentry.h"

#include <flamingograde/address.h>
#include <flamingograde/clock.h>
#include <flamingograde/packetrows.h>
#include <flamingograde/revision.h>

#include <memory>
#include <unordered_map>

namespace flamingograde {

/// Keeps the newest rows, and which services each row has had.
/// @remarks Not thread safe.
class RowTable
{
public:
    /// Puts `offered` in force if they are newer: of a higher version, or of the same one and
    /// changed later. A platform that was restored from an older copy publishes older rows at a
    /// newer revision. Precondition: `offered` is not null.
    /// @returns whether they are in force now and were not before.
    auto apply(const std::shared_ptr<const PacketRows> &offered, MonoTime now) -> bool;

    /// Makes the rows in force count as changed at `at`. Precondition: none.
    auto setChanged(Revision at) -> void;

    /// Returns the rows in force, or null before the first ones.
    [[nodiscard]] auto current() const -> const PacketRows * { return this->rows.get(); }

    /// Returns the rows in force for messages to other hosts; may be null. Precondition: none.
    [[nodiscard]] auto shared() const -> const std::shared_ptr<const PacketRows> &
    {
        return this->rows;
    }

    /// Returns when the first rows were received; `RowEntry::servicesEverHad` covers the time since
    /// then.
    [[nodiscard]] auto since() const -> MonoTime { return this->firstRowsAt; }

    /// Returns the row that callers reach at `address`, or null. Precondition: none.
    [[nodiscard]] auto at(Address address) const -> const RowEntry *;

private:
    std::shared_ptr<const PacketRows> rows;
    MonoTime firstRowsAt;
    std::unordered_map<Address, RowEntry> byAddress;
};

} // namespace flamingograde
