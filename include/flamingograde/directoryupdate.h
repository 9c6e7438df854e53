/// Changes of the directory: what the platform publishes and hosts tell each other.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/packetrows.h>
#include <flamingograde/revision.h>
#include <flamingograde/upstream.h>
#include <flamingograde/zoneevacuation.h>

#include <memory>
#include <vector>

namespace flamingograde {

/// An upstream as the directory has it.
struct DirectoryRecord
{
    Upstream upstream; ///< Precondition: its instance is valid.
    Revision changed;  ///< Of its last change: a later one takes its place.
    Revision created;  ///< Of its registration: of two upstreams the earlier one is the older.
};

/// An upstream that the directory no longer has.
struct DirectoryRemoval
{
    InstanceId instance;
    Revision at;
};

/// An upstream whose entry cannot be used any more: another writer left something there that is no
/// upstream, or one that it cannot be.
struct DirectoryFault
{
    InstanceId instance;
    Revision at;
};

/// Every change of the directory above one revision, or all that it holds.
///
/// Taking one twice, or two in another order, gives the same state.
struct DirectoryUpdate
{
    Revision after; ///< Changes up to this are left out; invalid: nothing is, and what is not in
                    ///< `present` was removed.
    Revision upTo;  ///< Changes above this may be left out.
    std::vector<DirectoryRecord> present;
    std::vector<DirectoryRemoval> removed;
    std::vector<DirectoryFault> faulty; ///< Get no new flows; `present` may have their last good
                                        ///< record, an older one.
    std::vector<ZoneEvacuation> evacuations; ///< A whole update omits ended ones.
    Duration settlesIn { 0 }; ///< Removals are not believed before: they may register again.
    std::shared_ptr<const PacketRows> rows; ///< Null: unchanged.

    /// Returns whether this holds the whole directory. Precondition: none.
    [[nodiscard]] auto isWhole() const -> bool { return !this->after.isValid(); }
};

} // namespace flamingograde
