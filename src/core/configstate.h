/// The table in force.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/revision.h>
#include <flamingograde/table.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingograde {

/// The table in force and what is known of the platform.
/// @remarks Written by the configuration controller only. Not thread safe.
class ConfigState
{
public:
    std::shared_ptr<const Table> table = std::make_shared<const Table>(); ///< Never null.
    Revision revision;        ///< Of `table`; invalid before the first.
    std::uint64_t digest = 0; ///< Hash of `text`.
    std::string text;         ///< The text of `table`.

    /// Returns whether the address of `upstream` waits because it lately belonged to another
    /// service.
    [[nodiscard]] auto isQuarantined(UpstreamId upstream, MonoTime now) const -> bool;

    /// Returns the wall time from which every host leads `key` to the same cell as now: when the
    /// last change of the table that moved it had come to all hosts, or the epoch.
    ///
    /// While a host may still have the table before that change, this is `neverPlaced`: the old
    /// cell may still run the key.
    /// @param told tables that were in force before this host's start and are allowed for
    /// elsewhere: all up to this one.
    [[nodiscard]] auto keyPlacedSince(ServiceId service, const std::string &key,
                                      Revision told = {}) const -> WallTime;

    /// Returns the latest `keyPlacedSince` of all keys of `service`, or a later time.
    [[nodiscard]] auto placedSince(ServiceId service, Revision told) const -> WallTime;

    /// Later than the time of any key.
    static constexpr WallTime neverPlaced = WallTime(Duration::max() / 2);

    /// A table that was in force before.
    struct Past
    {
        std::shared_ptr<const Table> table; ///< Null: before this host's start, so unknown.
        Revision next;                      ///< The table that replaced it.
        std::optional<WallTime> left;       ///< When it was in force nowhere any more.
        WallTime until;                     ///< When it was replaced here.

        /// Returns when a key that it led elsewhere came to its cell.
        [[nodiscard]] auto leftAt(Revision told) const -> WallTime;
    };

    std::vector<Past> past; ///< Oldest first; those of the last `config::keyLifetime`.
    std::unordered_map<UpstreamId, MonoTime> quarantinedUntil; ///< By upstream of `table`.
    MonoTime platformHeard;     ///< When this host, or one it heard from, last heard the platform.
    bool platformKnown = false; ///< Whether `platformHeard` was ever set.

    Revision settled; ///< The newest table that all hosts are known to have had, or a newer.

    /// Notes that all hosts have had `revision` or a newer one.
    auto noteSettled(Revision revision, WallTime now) -> void;
    /// Returns how long ago the platform was last heard by this host or one it heard from.
    [[nodiscard]] auto platformAge(MonoTime now) const -> Duration;
    /// Notes that the platform was heard at `at`.
    auto notePlatform(MonoTime at) -> void;
};

} // namespace flamingograde
