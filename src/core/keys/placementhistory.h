/// The tables by which idempotency keys are placed.
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

/// What is asked about a key.
struct KeyQuestion
{
    ServiceId service;
    const std::string &key;
    std::optional<WallTime> birth; ///< Of a key that has one.
    WallTime now;
    Revision told = {}; ///< Moves of keys by tables up to this one are allowed for elsewhere.
};

/// Where a key is run.
struct KeyPlacement
{
    ZoneId zone;    ///< Invalid where the service had no active upstream.
    WallTime since; ///< A key that was made before this may have been run in another zone.
};

/// The placements of the table in force and of those before it.
///
/// A key is placed by the newest table that was published `config::placementDelay` before the key
/// was made. So hosts whose tables differ for less than that place it alike, and an edit moves no
/// key that was sent already.
/// @remarks Written by the configuration controller only. Not thread safe.
class PlacementHistory
{
public:
    /// @param bound largest difference between two clocks.
    explicit PlacementHistory(Duration bound) : clockBound(bound) {}

    /// Later than the time of any key.
    static constexpr WallTime never = WallTime(Duration::max() / 2);

    /// Returns where a key is run. Precondition: none.
    [[nodiscard]] auto find(const KeyQuestion &question) const -> KeyPlacement;

    /// Returns the latest time, or a later one, before which a key of `service` may have been run
    /// in another zone than that in which it is run now.
    /// @param told as in `KeyQuestion`; for tables before the oldest one known.
    [[nodiscard]] auto movedSince(ServiceId service, Revision told) const -> WallTime;

    /// Takes in placements: of a table that comes into force, or all that another host knows.
    ///
    /// A placement that was not known here before, or not in this order, is not agreed any more.
    /// Of two times of publication the earlier one holds.
    auto merge(std::vector<TablePlacement> others, WallTime now) -> void;

    /// Notes that all hosts have these placements.
    auto agree(WallTime now) -> void;

    /// Forgets placements by which only keys are placed that are past their lifetime.
    auto expire(WallTime now) -> void;

    /// Returns whether all hosts were known to have each of these placements.
    [[nodiscard]] auto isAgreed() const -> bool;

    /// Returns a hash of the placements; hosts with the same one place all keys alike.
    [[nodiscard]] auto digest() const -> std::uint64_t { return this->hash; }

    /// Returns the placements, oldest first.
    [[nodiscard]] auto entries() const -> const std::vector<TablePlacement> & { return this->list; }

private:
    [[nodiscard]] auto indexAt(WallTime time) const -> std::size_t;
    [[nodiscard]] auto placeBy(std::size_t index, const KeyQuestion &question) const
            -> KeyPlacement;
    [[nodiscard]] auto mayHaveMoved(std::size_t index, ServiceId service, ZoneId zone) const
            -> bool;

    std::vector<TablePlacement> list; ///< By revision.
    std::uint64_t hash = 0;
    Duration clockBound;
};

} // namespace flamingograde
