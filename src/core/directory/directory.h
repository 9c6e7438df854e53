/// What the platform publishes of packet services, as this host has it.
#pragma once

#include "core/directory/directorychanges.h"
#include "core/directory/rowentry.h"
#include "core/directory/servicepool.h"
#include "core/directory/upstreamentry.h"
#include "core/directory/zoneevacuations.h"

#include <flamingograde/address.h>
#include <flamingograde/clock.h>
#include <flamingograde/cookie.h>
#include <flamingograde/directoryupdate.h>
#include <flamingograde/ids.h>
#include <flamingograde/revision.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace flamingograde {

/// Rows and upstreams with their look-ups. Revisions never go back.
///
/// An entry's index stays the same until its tombstone is forgotten.
/// @remarks Not thread safe. Written by the directory controller; the evidence of an entry is
/// written by the packet path.
class Directory
{
public:
    /// @param zone upstreams of it are near.
    /// @param withColdLimits whether the cold limits of services are enforced.
    explicit Directory(ZoneId zone, bool withColdLimits = true)
        : ownZone(zone), enforcesColdLimits(withColdLimits)
    {}

    /// Returns whether `update` continues what this host has. Precondition: none.
    [[nodiscard]] auto canTake(const DirectoryUpdate &update) const -> bool;

    /// Takes an update. Precondition: `canTake(update)`.
    /// @returns what it changed; nothing for one that brings nothing newer.
    auto take(const DirectoryUpdate &update, MonoTime now) -> DirectoryChanges;

    /// Believes removals that are due and forgets old tombstones. Precondition: none.
    auto settle(MonoTime now) -> DirectoryChanges;

    /// Returns all changes above `have`, or everything where that is not known any more.
    /// Precondition: none.
    [[nodiscard]] auto updateSince(Revision have, MonoTime now) const -> DirectoryUpdate;

    /// Returns up to where all changes are known; invalid before the first.
    [[nodiscard]] auto revision() const -> Revision { return this->known; }

    /// Returns the rows in force, or null before the first.
    [[nodiscard]] auto rows() const -> const PacketRows * { return this->published.get(); }

    /// Returns since when this host knows rows, and remembers what they had.
    [[nodiscard]] auto rowsSince() const -> MonoTime { return this->firstRows; }

    /// Returns the row reached at `address`, or null. Precondition: none.
    [[nodiscard]] auto rowAt(Address address) const -> const RowEntry *;

    /// Returns the entry for which `cookie` stands, or null. Precondition: none.
    [[nodiscard]] auto byCookie(Cookie cookie) -> UpstreamEntry *;
    [[nodiscard]] auto byCookie(Cookie cookie) const -> const UpstreamEntry *;

    /// Returns the index of an entry of this directory. Precondition: it is one.
    [[nodiscard]] auto indexOf(const UpstreamEntry &entry) const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(&entry - this->slots.data());
    }

    /// Returns the entry at `index`. Precondition: it came from this directory.
    [[nodiscard]] auto at(std::uint32_t index) -> UpstreamEntry & { return this->slots[index]; }
    [[nodiscard]] auto at(std::uint32_t index) const -> const UpstreamEntry &
    {
        return this->slots[index];
    }

    /// Counts a request of this host's flows that begins at an entry, or one that ended.
    /// Precondition: `entry` is of this directory.
    auto beginRequest(UpstreamEntry &entry) -> void;
    auto endRequest(UpstreamEntry &entry) -> void;

    /// Returns the upstreams of `service` for new flows; empty for an unknown one.
    [[nodiscard]] auto poolOf(ServiceId service) -> const ServicePool &;

    /// Has the pools made anew: an entry's evidence or presence changed. Precondition: none.
    auto touchPools() -> void { this->poolsStale = true; }

    /// Returns whether an entry accepts new flows. Does not consider whether it is silent.
    /// Precondition: `entry` is of this directory.
    [[nodiscard]] auto isOpen(const UpstreamEntry &entry) const -> bool;

    /// Returns whether an opening packet may be sent to an entry now: new flows may go there, and
    /// a cold limit leaves room for another request. Precondition: `entry` is of this directory.
    [[nodiscard]] auto acceptsOpening(const UpstreamEntry &entry) const -> bool;

    /// Returns the cold limit of a service, or null where it has none.
    [[nodiscard]] auto coldLimitOf(ServiceId service) const -> const ColdLimit *;

    /// Returns the number of upstreams to which a cold limit applies now.
    [[nodiscard]] auto coldLimitedCount() const -> std::size_t { return this->coldLimited; }

    /// Lifts the limits of upstreams that are no longer cold. Precondition: none.
    auto liftExpiredColdLimits(MonoTime now) -> void;

    /// Returns the evacuation orders of availability zones.
    [[nodiscard]] auto evacuations() const -> const ZoneEvacuations &
    {
        return this->zoneEvacuations;
    }

    /// Returns all entries, unused slots (of no instance) included.
    [[nodiscard]] auto entries() const -> const std::vector<UpstreamEntry> & { return this->slots; }

    /// Returns the number of upstreams that are listed.
    [[nodiscard]] auto listedCount() const -> std::size_t { return this->listed; }

private:
    auto takeRecord(const DirectoryRecord &record, MonoTime now, DirectoryChanges &changes) -> void;
    auto takeFault(const DirectoryFault &fault, DirectoryChanges &changes) -> void;
    auto beginLife(UpstreamEntry &entry, DirectoryChanges &changes) -> void;
    auto takeRemoval(const DirectoryRemoval &removal, Duration settlesIn, MonoTime now,
                     DirectoryChanges &changes) -> void;
    auto takeAbsent(const DirectoryUpdate &update, MonoTime now, DirectoryChanges &changes) -> void;
    auto takeRows(const std::shared_ptr<const PacketRows> &rows, MonoTime now,
                  DirectoryChanges &changes) -> void;
    auto updateColdLimit(UpstreamEntry &entry, MonoTime now) -> void;
    auto assumeZoneCold(ZoneId zone, Revision at, MonoTime now) -> void;
    auto takeEvacuations(const DirectoryUpdate &update, MonoTime now, DirectoryChanges &changes)
            -> void;
    auto add(const DirectoryRecord &record) -> UpstreamEntry &;
    auto claimCookie(UpstreamEntry &entry, DirectoryChanges &changes) -> void;
    auto releaseCookie(const UpstreamEntry &entry) -> void;
    auto remove(UpstreamEntry &entry, MonoTime now, DirectoryChanges &changes) -> void;
    auto settleMissing(UpstreamEntry &entry, MonoTime now, DirectoryChanges &changes) -> void;
    auto forget(UpstreamEntry &entry) -> void;
    auto makePools() -> void;
    auto pool(UpstreamEntry &entry) -> void;

    ZoneId ownZone;
    bool enforcesColdLimits = true;
    Revision known;
    Revision forgotten; ///< Of the newest tombstone that was forgotten.
    std::vector<UpstreamEntry> slots;
    std::vector<std::uint32_t> freeSlots;
    std::unordered_map<InstanceId, std::uint32_t> byInstance;
    std::unordered_map<Cookie, std::uint32_t> cookies;
    std::unordered_map<ServiceId, ServicePool> pools;
    std::shared_ptr<const PacketRows> published;
    MonoTime firstRows; ///< When the first rows were taken.
    std::unordered_map<Address, RowEntry> rowsByAddress;
    ZoneEvacuations zoneEvacuations;
    std::unordered_map<ServiceId, ColdLimit> coldLimits;
    std::size_t coldLimited = 0; ///< Entries with `isColdLimited` set.
    std::size_t listed = 0;
    std::size_t unsettled = 0; ///< Missing entries and tombstones.
    bool poolsStale = false;
};

} // namespace flamingograde
