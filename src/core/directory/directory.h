/// This host's copy of the packet rows and upstreams that the platform publishes.
#pragma once

#include "core/directory/directorychanges.h"
#include "core/directory/rowtable.h"
#include "core/directory/servicepools.h"
#include "core/directory/upstreamentry.h"
#include "core/directory/zoneevacuations.h"

#include <flamingograde/address.h>
#include <flamingograde/clock.h>
#include <flamingograde/config.h>
#include <flamingograde/cookie.h>
#include <flamingograde/directoryupdate.h>
#include <flamingograde/ids.h>
#include <flamingograde/revision.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace flamingograde {

/// Packet rows and upstreams, indexed by address, cookie, instance and service.
///
/// The directory's revision never decreases. An entry's index stays valid until its tombstone is
/// deleted.
///
/// The platform may be restored from an older copy, which begins an epoch. What this host knows
/// from before then counts as older than everything of the new epoch, but the copy takes back
/// nothing that had been accepted: rows of a higher version stay in force, and an upstream that was
/// draining stays so. All revisions of a directory are of one epoch.
/// @remarks Not thread safe. The directory controller writes everything except
/// `UpstreamEntry::evidence`, which the packet path writes.
class Directory
{
public:
    /// @param zone this host's availability zone; its upstreams count as near.
    /// @param withColdLimits whether to enforce the cold limits of services.
    /// @param heartbeat the period in which upstreams renew their leases.
    explicit Directory(ZoneId zone, bool withColdLimits = true,
                       Duration heartbeat = config::upstreamHeartbeat)
        : ownZone(zone), enforcesColdLimits(withColdLimits),
          signOfLifeValidity(signOfLifeValidityFor(heartbeat)),
          timeToReappear(reappearTimeFor(heartbeat))
    {}

    /// Returns how long a sign of life shows that an upstream that was removed has only lost its
    /// lease, because it is cut off from the platform.
    ///
    /// The lease of an upstream that died lapses two heartbeats after its last sign of life or
    /// later; a sixth of that is left for the removal to reach this host. Precondition: none.
    [[nodiscard]] static constexpr auto signOfLifeValidityFor(Duration heartbeat) -> Duration
    {
        return 2 * heartbeat - 2 * heartbeat / 6;
    }

    /// Returns how long after the end of an outage, or a restore, of the platform an upstream that
    /// it no longer lists may register again: at its next heartbeat, or at the one after that if a
    /// write was lost. Precondition: none.
    [[nodiscard]] static constexpr auto reappearTimeFor(Duration heartbeat) -> Duration
    {
        const auto untilSecondHeartbeat = 2 * heartbeat - heartbeat / 6;
        return std::max<Duration>(config::reappearTime, untilSecondHeartbeat);
    }

    /// Returns `reappearTimeFor` the heartbeat of this deployment.
    [[nodiscard]] auto reappearTime() const -> Duration { return this->timeToReappear; }

    /// Returns whether `update` applies to the revision that this host has, that is, whether no
    /// change between them is missing. Precondition: none.
    [[nodiscard]] auto canApply(const DirectoryUpdate &update) const -> bool;

    /// Applies an update. Precondition: `canApply(update)`.
    /// @returns what changed; empty if the update is not newer than the directory.
    auto apply(const DirectoryUpdate &update, MonoTime now) -> DirectoryChanges;

    /// Adds a page of the whole directory, before the rest is known. The revision stays invalid,
    /// and nothing is removed, until the whole directory is applied. Precondition: the revision is
    /// invalid.
    auto applyPage(const DirectoryUpdate &page, MonoTime now) -> DirectoryChanges;

    /// Completes deferred removals and ends of evacuations that are due, and deletes tombstones
    /// older than `config::tombstoneTime`. Precondition: none.
    auto processRemovals(MonoTime now) -> DirectoryChanges;

    /// Returns all changes newer than `have`, or the whole directory if the tombstones of some of
    /// them have been deleted. Precondition: none.
    [[nodiscard]] auto updateSince(Revision have, MonoTime now) const -> DirectoryUpdate;

    /// Returns whether the changes since `have` are known, so that `updateSince(have)` is not the
    /// whole directory. Those since an earlier epoch are not. Precondition: none.
    [[nodiscard]] auto hasChangesSince(Revision have) const -> bool
    {
        return have.isValid() && have.epoch == this->epoch && !(have < this->newestForgotten);
    }

    /// Returns the epoch of the directory's revisions; 0 before the first update.
    [[nodiscard]] auto currentEpoch() const -> std::uint32_t { return this->epoch; }

    /// Returns whether the directory is newer than `update`. Precondition: none.
    [[nodiscard]] auto isNewerThan(const DirectoryUpdate &update) const -> bool
    {
        return update.upTo < this->knownRevision || update.upTo.epoch < this->epoch;
    }

    /// Returns whether `update` can be applied and would begin an epoch. Precondition: none.
    [[nodiscard]] auto beginsEpoch(const DirectoryUpdate &update) const -> bool
    {
        return this->knownRevision.isValid() && this->epoch < update.upTo.epoch
               && this->canApply(update);
    }

    /// Returns the revision up to which all changes are applied; invalid before the first update.
    [[nodiscard]] auto revision() const -> Revision { return this->knownRevision; }

    /// Returns whether there are rows and upstreams, but not the whole directory yet.
    /// Precondition: none.
    [[nodiscard]] auto hasPart() const -> bool
    {
        return !this->knownRevision.isValid() && this->packetRows.current() != nullptr
               && this->listed > 0;
    }

    /// Returns the current rows, or null before the first update with rows.
    [[nodiscard]] auto rows() const -> const PacketRows * { return this->packetRows.current(); }

    /// Returns the current rows for messages to other hosts; may be null. Precondition: none.
    [[nodiscard]] auto sharedRows() const -> const std::shared_ptr<const PacketRows> &
    {
        return this->packetRows.shared();
    }

    /// Returns when this host received its first rows; `RowEntry::servicesEverHad` covers the time
    /// since then.
    [[nodiscard]] auto rowsSince() const -> MonoTime { return this->packetRows.since(); }

    /// Returns the row that callers reach at `address`, or null. Precondition: none.
    [[nodiscard]] auto rowAt(Address address) const -> const RowEntry *
    {
        return this->packetRows.at(address);
    }

    /// Returns the entry that owns `cookie`, or null. Precondition: none.
    [[nodiscard]] auto byCookie(Cookie cookie) -> UpstreamEntry *;
    [[nodiscard]] auto byCookie(Cookie cookie) const -> const UpstreamEntry *;

    /// Returns the index of an entry. Precondition: `entry` is of this directory.
    [[nodiscard]] auto indexOf(const UpstreamEntry &entry) const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(&entry - this->entrySlots.data());
    }

    /// Returns the entry at `index`. Precondition: this directory returned `index`.
    [[nodiscard]] auto at(std::uint32_t index) -> UpstreamEntry &
    {
        return this->entrySlots[index];
    }
    [[nodiscard]] auto at(std::uint32_t index) const -> const UpstreamEntry &
    {
        return this->entrySlots[index];
    }

    /// Returns the counts of this host's requests at the upstreams. Precondition: none.
    [[nodiscard]] auto requests() -> ServicePools & { return this->servicePools; }

    /// Returns the pools of all services, up to date. Precondition: none.
    [[nodiscard]] auto freshPools() -> const ServicePools &;

    /// Returns the upstreams of `service` that accept new flows; empty for an unknown service.
    [[nodiscard]] auto poolOf(ServiceId service) -> const ServicePool &
    {
        return this->freshPools().find(service);
    }

    /// Returns the pool of `service` as of the last `poolOf()`. Precondition: none.
    [[nodiscard]] auto findPool(ServiceId service) const -> const ServicePool &
    {
        return this->servicePools.find(service);
    }

    /// Invalidates the pools after a change of an entry's evidence or presence; the next
    /// `poolOf()` rebuilds them. Precondition: none.
    auto invalidatePools() -> void { this->poolsStale = true; }

    /// Returns whether an entry accepts new flows. Does not consider whether it is silent.
    /// Precondition: `entry` is of this directory.
    [[nodiscard]] auto acceptsNewFlows(const UpstreamEntry &entry) const -> bool;

    /// Returns whether an opening packet may be sent to an entry now: it accepts new flows, and
    /// its cold limit, if one applies, allows another request.
    /// Precondition: `entry` is of this directory.
    [[nodiscard]] auto acceptsOpening(const UpstreamEntry &entry) const -> bool;

    /// Returns the cold limit of a service, or null if it has none.
    [[nodiscard]] auto coldLimitOf(ServiceId service) const -> const ColdLimit *;

    /// Returns the number of upstreams to which a cold limit currently applies.
    [[nodiscard]] auto coldLimitedCount() const -> std::size_t { return this->coldLimited; }

    /// Lifts the limits of upstreams that are no longer cold. Precondition: none.
    auto liftExpiredColdLimits(MonoTime now) -> void;

    /// Returns the evacuation orders of availability zones.
    [[nodiscard]] auto evacuations() const -> const ZoneEvacuations &
    {
        return this->zoneEvacuations;
    }

    /// Returns all entries, including unused slots, whose instance is invalid.
    [[nodiscard]] auto entries() const -> const std::vector<UpstreamEntry> &
    {
        return this->entrySlots;
    }

    /// Returns the number of entries with `Presence::Listed`.
    [[nodiscard]] auto listedCount() const -> std::size_t { return this->listed; }

private:
    /// Begins an epoch: makes all known revisions older than any of it.
    auto beginEpoch(std::uint32_t newEpoch) -> void;
    auto applyEntries(const DirectoryUpdate &update, MonoTime now, DirectoryChanges &changes)
            -> void;
    auto applyRecord(const DirectoryRecord &record, MonoTime now, DirectoryChanges &changes)
            -> void;
    auto applyFault(const DirectoryFault &fault, DirectoryChanges &changes) -> void;
    auto resetAfterRestart(UpstreamEntry &entry, DirectoryChanges &changes) -> void;
    auto applyRemoval(const DirectoryRemoval &removal, Duration removalsDeferredFor, MonoTime now,
                      DirectoryChanges &changes) -> void;
    auto removeAbsent(const DirectoryUpdate &update, MonoTime now, DirectoryChanges &changes)
            -> void;
    auto applyRows(const std::shared_ptr<const PacketRows> &rows, MonoTime now,
                   DirectoryChanges &changes) -> void;
    auto updateColdLimit(UpstreamEntry &entry, MonoTime now) -> void;
    auto assumeZoneCold(ZoneId zone, Revision at, MonoTime now) -> void;
    auto sendKeptRowsOn(Revision at) -> void;
    auto assumeZonesCold(const std::vector<ZoneEvacuation> &ended, MonoTime now) -> void;
    auto applyEvacuations(const DirectoryUpdate &update, MonoTime now, DirectoryChanges &changes)
            -> void;
    auto add(const DirectoryRecord &record) -> UpstreamEntry &;
    auto claimCookie(UpstreamEntry &entry, DirectoryChanges &changes) -> void;
    auto releaseCookie(const UpstreamEntry &entry) -> void;
    auto remove(UpstreamEntry &entry, MonoTime now, DirectoryChanges &changes) -> void;
    auto resolveMissing(UpstreamEntry &entry, MonoTime now, DirectoryChanges &changes) -> void;
    auto forget(UpstreamEntry &entry) -> void;
    auto rebuildPools() -> void;

    ZoneId ownZone;
    bool enforcesColdLimits = true;
    Duration signOfLifeValidity; ///< See `signOfLifeValidityFor`.
    Duration timeToReappear;     ///< See `reappearTimeFor`.
    std::uint32_t epoch = 0;     ///< Of all revisions of this directory.
    Revision knownRevision;
    Revision newestForgotten; ///< Revision of the newest deleted tombstone.
    std::vector<UpstreamEntry> entrySlots;
    std::vector<std::uint32_t> freeSlots;
    std::unordered_map<InstanceId, std::uint32_t> byInstance;
    std::unordered_map<Cookie, std::uint32_t> cookies;
    ServicePools servicePools;
    RowTable packetRows;
    ZoneEvacuations zoneEvacuations;
    std::unordered_map<ServiceId, ColdLimit> coldLimits;
    std::size_t coldLimited = 0; ///< Entries with `isColdLimited` set.
    std::size_t listed = 0;
    std::size_t unlistedEntries = 0; ///< Missing entries and tombstones.
    bool poolsStale = false;
};

} // namespace flamingograde
