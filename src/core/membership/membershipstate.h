/// What is known of the other hosts.
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

/// The members of the fleet and the look-ups that other controllers need.
/// @remarks Written by the membership controller only. Not thread safe.
class MembershipState
{
public:
    /// Returns the member, this host included, or null.
    [[nodiscard]] auto find(HostId host) const -> const Member *;

    /// Returns the member's name; empty for an unknown one.
    [[nodiscard]] auto nameOf(HostId host) const -> std::string;

    /// Returns the hosts of `zone` that may be homes: alive or suspect, neither leaving nor dead.
    [[nodiscard]] auto candidates(ZoneId zone) const -> const std::vector<HostId> &;

    /// Returns the winner for `key` by rendezvous over `candidates(zone)`; invalid for none.
    [[nodiscard]] auto winnerOf(std::uint64_t key, ZoneId zone) const -> HostId;

    /// Returns the home of `cell` in `zone`: its winner; invalid for none.
    [[nodiscard]] auto homeOf(CellId cell, ZoneId zone) const -> HostId;

    /// Returns whether a connection with `host` is up.
    [[nodiscard]] auto isConnected(HostId host) const -> bool;

    /// Returns the number of hosts held to be alive, this one included.
    [[nodiscard]] auto aliveCount() const -> std::size_t { return this->alive; }

    /// Returns the hosts of `zone` that may be at work: all that are not dead. A host asks all of
    /// them but itself before it becomes home of a cell.
    [[nodiscard]] auto voters(ZoneId zone) const -> const std::vector<HostId> &;

    /// Returns the number of zones of which a host is known that is not dead.
    [[nodiscard]] auto zoneCount() const -> std::size_t { return this->votersByZone.size(); }

    /// Returns the number of hosts with which a connection is up.
    [[nodiscard]] auto connectedCount() const -> std::size_t { return this->connected; }

    /// Returns whether this host is cut off from all others that are not dead: no connection is up,
    /// or no question of the last `config::pauseThreshold` was answered. False where there are
    /// none.
    [[nodiscard]] auto isIsolated(MonoTime now) const -> bool;

    /// Returns a number that changes with each change of `candidates` or `voters`.
    [[nodiscard]] auto version() const -> std::uint64_t { return this->changes; }

    /// Returns the record of `host`, or null. The pointer holds until `host` is erased.
    [[nodiscard]] auto record(HostId host) -> MemberRecord *;
    [[nodiscard]] auto record(HostId host) const -> const MemberRecord *;

    /// Returns all records by id, this host's included.
    [[nodiscard]] auto records() -> std::map<HostId, MemberRecord> & { return this->byId; }
    [[nodiscard]] auto records() const -> const std::map<HostId, MemberRecord> &
    {
        return this->byId;
    }

    /// Marks the look-ups as out of date: a member was added, erased or changed.
    auto touch() -> void
    {
        this->stale = true;
        this->digestStale = true;
    }
    /// Has `digest` count hosts of `zone` only. Precondition: none.
    auto compareOnly(ZoneId zone) -> void
    {
        this->comparedZone = zone;
        this->digestStale = true;
    }

    /// Returns a number of the hosts that are not dead, each with its incarnation; never 0 where
    /// there is one. Equal views have equal numbers, different ones nearly never.
    [[nodiscard]] auto digest() -> std::uint32_t;

    /// Returns whether this host, since its start or last pause, had the chance to hear of all
    /// hosts that are at work: from the platform's list, from other hosts, or by waiting for them.
    [[nodiscard]] auto knowsFleet(MonoTime now) const -> bool;

    /// Makes the look-ups anew where they are out of date.
    auto refresh() -> void;

    HostId self;         ///< This host; invalid before the first event.
    MonoTime contactAt;  ///< When the newest question that another host answered was sent.
    MonoTime isolatedAt; ///< When this host was last cut off: it can tell nothing of others then.
    MonoTime pausedAt;   ///< When this process last woke from a pause.
    std::uint64_t pauses = 0; ///< Pauses of this process.
    std::uint64_t deaths = 0; ///< How often hosts of the zone may have held this host to be dead.
    bool listedSelf = false;  ///< The platform's last host list had this host.
    bool listRead = false;    ///< The platform's host list was read since the start.
    MonoTime listedAt;        ///< When it was last read.
    bool seeded = false;      ///< The settings name other hosts.
    MonoTime startedAt;       ///< Time of the first event.

private:
    std::map<HostId, MemberRecord> byId;
    std::unordered_map<ZoneId, std::vector<HostId>> candidatesByZone;
    std::unordered_map<ZoneId, std::vector<HostId>> votersByZone;
    std::size_t alive = 0; ///< Alive or leaving.
    std::size_t undead = 0;
    std::size_t connected = 0;
    std::uint64_t changes = 0;
    std::uint32_t lastDigest = 0;
    ZoneId comparedZone; ///< Invalid: all zones.
    bool stale = true;
    bool digestStale = true;
};

} // namespace flamingograde
