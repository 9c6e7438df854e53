/// The recent tables by which idempotency keys are placed.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/revision.h>
#include <flamingograde/tableplacement.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingograde {

/// A query for the placement of a key.
struct PlacementQuery
{
    ServiceId service;
    const std::string &key;
    std::optional<WallTime> birth; ///< When the key was made, if the key contains it.
    WallTime now;
    Revision
            coveredRevision = {}; ///< The calling code handles moves by tables up to this revision.
};

/// The zone in which a key is run.
struct KeyPlacement
{
    ZoneId zone;    ///< Invalid if the service had no active upstream.
    WallTime since; ///< A key made before this may have been run in another zone.
};

/// The placements of the table in force and of those before it.
///
/// A key is placed by the newest table that was published at least `config::placementDelay` before
/// the key was made. So hosts that receive a table less than this delay apart place the key in the
/// same zone, and a new table moves no key that has already been sent.
/// @remarks Written by the configuration controller only. Not thread safe.
class PlacementHistory
{
public:
    /// @param bound largest difference between any two wall clocks of hosts, callers and the
    /// platform.
    explicit PlacementHistory(Duration bound) : clockBound(bound) {}

    /// Later than the birth of any key. As `KeyPlacement::since` it means that any key may have
    /// been run in another zone.
    static constexpr WallTime unknownSince = WallTime(Duration::max() / 2);

    /// Returns where a key is run; an invalid zone while no table is known. Precondition: none.
    [[nodiscard]] auto find(const PlacementQuery &query) const -> KeyPlacement;

    /// Returns a time after which no key of `service` was run in another zone than the one in which
    /// it is run now. May be later than the earliest such time.
    /// @param coveredRevision as in `PlacementQuery`; covers tables before the oldest one known.
    [[nodiscard]] auto latestMove(ServiceId service, Revision coveredRevision) const -> WallTime;

    /// Adds `others`: the placement of a table that comes into force, or all those that another
    /// host knows.
    ///
    /// A placement keeps a time of agreement, from this list or from `others`, only if it had the
    /// same publication time and the same predecessor there. If two publication times of a revision
    /// differ, the earlier one is kept.
    auto merge(std::vector<TablePlacement> others, WallTime now) -> void;

    /// Sets `now` as the time of agreement of every placement that has none. Called when all hosts
    /// have the same placements.
    auto markAgreed(WallTime now) -> void;

    /// Forgets placements that only apply to keys past their lifetime.
    auto expire(WallTime now) -> void;

    /// Returns whether every placement has a time at which all hosts were known to have it.
    [[nodiscard]] auto isAgreed() const -> bool;

    /// Returns a hash of the placements; hosts with equal hashes place all keys alike.
    [[nodiscard]] auto digest() const -> std::uint64_t { return this->hash; }

    /// Returns the placements, oldest first.
    [[nodiscard]] auto entries() const -> const std::vector<TablePlacement> & { return this->list; }

private:
    [[nodiscard]] auto indexEffectiveAt(WallTime time) const -> std::size_t;
    [[nodiscard]] auto placeByTable(std::size_t index, const PlacementQuery &query) const
            -> KeyPlacement;
    [[nodiscard]] auto mayHaveMoved(std::size_t index, ServiceId service, ZoneId zone) const
            -> bool;

    std::vector<TablePlacement> list; ///< Sorted by revision.
    std::uint64_t hash = 0;
    Duration clockBound;
};

} // namespace flamingograde
