/// The membership view of the local host.
#pragma once

#include "core/membership/memberrecord.h"

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/member.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingograde {

/// The members of the fleet, and look-ups over them for other controllers.
/// @remarks Written by the membership controller only. Not thread safe.
class MembershipState
{
public:
    /// Returns the member, which may be the local host, or null if it is unknown.
    [[nodiscard]] auto find(HostId host) const -> const Member *;

    /// Returns the member's name; empty for an unknown one.
    [[nodiscard]] auto nameOf(HostId host) const -> std::string;

    /// Returns the hosts of `zone` that may be home of a cell: those that are alive or suspect, and
    /// neither leaving nor dead.
    [[nodiscard]] auto candidates(ZoneId zone) const -> const std::vector<HostId> &;

    /// Returns the host of `candidates(zone)` with the highest rendezvous hash for `key`; an
    /// invalid id if there are no candidates.
    [[nodiscard]] auto winnerOf(std::uint64_t key, ZoneId zone) const -> HostId;

    /// Returns the home of `cell` in `zone`, as chosen by `winnerOf`; an invalid id if there are no
    /// candidates.
    [[nodiscard]] auto homeOf(CellId cell, ZoneId zone) const -> HostId;

    /// Returns whether a connection with `host` is up.
    [[nodiscard]] auto isConnected(HostId host) const -> bool;

    /// Returns the number of hosts that are alive or leaving, the local one included.
    [[nodiscard]] auto aliveCount() const -> std::size_t { return this->alive; }

    /// Returns the hosts of `zone` that may be running: all that are not dead. A host asks all of
    /// them but itself before it becomes home of a cell.
    [[nodiscard]] auto voters(ZoneId zone) const -> const std::vector<HostId> &;

    /// Returns the number of zones with at least one host that is not dead.
    [[nodiscard]] auto zoneCount() const -> std::size_t { return this->votersByZone.size(); }

    /// Returns the number of hosts with which a connection is up.
    [[nodiscard]] auto connectedCount() const -> std::size_t { return this->connected; }

    /// Returns whether the local host is cut off from all others that are not dead: no connection
    /// is up, or no probe sent within the last `config::pauseThreshold` was answered. False if
    /// there are no such hosts.
    [[nodiscard]] auto isIsolated(MonoTime now) const -> bool;

    /// Returns a number that increases with each change of `candidates` or `voters`.
    [[nodiscard]] auto version() const -> std::uint64_t { return this->lookupsVersion; }

    /// Returns the record of `host`, or null. The pointer is valid until the record is erased.
    [[nodiscard]] auto record(HostId host) -> MemberRecord *;
    [[nodiscard]] auto record(HostId host) const -> const MemberRecord *;

    /// Returns all records by id, that of the local host included.
    [[nodiscard]] auto records() -> std::map<HostId, MemberRecord> & { return this->byId; }
    [[nodiscard]] auto records() const -> const std::map<HostId, MemberRecord> &
    {
        return this->byId;
    }

    /// Marks look-ups and digest as out of date after a member was added, erased or changed.
    auto invalidateLookups() -> void
    {
        this->lookupsStale = true;
        this->digestStale = true;
    }
    /// Restricts `digest` to the hosts of `zone`. Precondition: none.
    auto limitDigestTo(ZoneId zone) -> void
    {
        this->digestZone = zone;
        this->digestStale = true;
    }

    /// Returns a hash over the ids and incarnations of the hosts that are not dead; never 0. Equal
    /// views have equal hashes, different views almost never do.
    [[nodiscard]] auto digest() -> std::uint32_t;

    /// Returns whether the local host, since its start or last pause, had the chance to learn of
    /// all running hosts: from the platform's list, from other hosts, or by waiting for them.
    [[nodiscard]] auto knowsFleet(MonoTime now) const -> bool;

    /// Rebuilds the lists and counts that the look-ups return, if `touch` marked them as out of
    /// date.
    auto refresh() -> void;

    HostId self;                  ///< The local host; invalid before the first event.
    MonoTime lastAnsweredProbeAt; ///< Send time of the newest probe that another host answered.
    MonoTime lastIsolatedAt; ///< When the local host was last cut off and could not observe others.
    MonoTime resumedAt;      ///< When this process started or last resumed from a pause.
    std::uint64_t pauses = 0; ///< Number of pauses of this process.
    /// How often hosts of the zone may have regarded the local host as dead.
    std::uint64_t presumedDeaths = 0;
    bool everListedSelf = false; ///< The platform has listed the local host.
    bool listRead = false;       ///< The platform's host list was read since the start.
    MonoTime listedAt;           ///< When the platform's host list was last read.
    bool hasSeeds = false;       ///< The settings name other hosts.
    MonoTime startedAt;          ///< Time of the first event.

private:
    std::map<HostId, MemberRecord> byId;
    std::unordered_map<ZoneId, std::vector<HostId>> candidatesByZone;
    std::unordered_map<ZoneId, std::vector<HostId>> votersByZone;
    std::size_t alive = 0; ///< Hosts that are alive or leaving.
    std::size_t notDead = 0;
    std::size_t connected = 0;
    std::uint64_t lookupsVersion = 0;
    std::uint32_t cachedDigest = 0;
    ZoneId digestZone; ///< Zone that `digest` covers; all zones if invalid.
    bool lookupsStale = true;
    bool digestStale = true;
};

} // namespace flamingograde
