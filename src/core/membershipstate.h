/// What is known of the other hosts.
#pragma once

#include <flamingograde/ids.h>
#include <flamingograde/member.h>

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

    /// Returns the hosts of `zone` that may be homes: alive or suspect, neither leaving nor dead.
    [[nodiscard]] auto candidates(ZoneId zone) const -> const std::vector<HostId> &;

    /// Returns the home of `cell` in `zone` by rendezvous over `candidates`; invalid for none.
    [[nodiscard]] auto homeOf(CellId cell, ZoneId zone) const -> HostId;

    /// Returns whether a connection with `host` is up.
    [[nodiscard]] auto isConnected(HostId host) const -> bool;

    /// Returns the number of hosts held to be alive, this one included.
    [[nodiscard]] auto aliveCount() const -> std::size_t;
};

} // namespace flamingograde
