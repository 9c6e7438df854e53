/// Changes of the directory, as the platform publishes them and hosts send them to each other.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/packetrows.h>
#include <flamingograde/revision.h>
#include <flamingograde/upstream.h>
#include <flamingograde/zoneevacuation.h>

#include <memory>
#include <string>
#include <vector>

namespace flamingograde {

/// An upstream as listed in the directory.
struct DirectoryRecord
{
    Upstream upstream; ///< Precondition: its instance is valid.
    Revision changed;  ///< Of its last change: a record with a higher one replaces this.
    Revision created;  ///< Revision of its registration: lower for the older of two.
};

/// An upstream that was removed from the directory.
struct DirectoryRemoval
{
    InstanceId instance;
    Revision at;
};

/// An upstream whose entry is no longer usable: another writer replaced it by something that is not
/// an upstream, or by an upstream that cannot be under this entry.
struct DirectoryFault
{
    InstanceId instance;
    Revision at;
};

/// All changes of the directory after a revision, or its whole content.
///
/// Updates are idempotent and commutative: applying one twice, or two in another order, gives the
/// same state.
struct DirectoryUpdate
{
    Revision after; ///< Changes up to this are omitted; invalid: none is, and upstreams that are
                    ///< not in `present` were removed.
    Revision upTo;  ///< Changes above this may be missing.
    std::vector<DirectoryRecord> present;
    std::vector<DirectoryRemoval> removed;
    std::vector<DirectoryFault> faulty;      ///< Get no new flows; `present` may contain their last
                                             ///< usable record, which is older.
    std::vector<ZoneEvacuation> evacuations; ///< A whole update omits ended ones.
    Duration removalsDeferredFor { 0 }; ///< Delay of removals, as the upstreams may register again.
    std::shared_ptr<const PacketRows> rows; ///< Null: unchanged.
    std::vector<std::string> unreadable;    ///< Errors of entries that were left out, as they could
                                            ///< not be decoded. Not sent on.

    /// Returns whether this contains the whole directory. Precondition: none.
    [[nodiscard]] auto isWhole() const -> bool { return !this->after.isValid(); }
};

} // namespace flamingograde
