/// Hubs: the hosts of an availability zone that distribute changes to its other hosts.
#pragma once

#include <flamingograde/ids.h>
#include <flamingograde/member.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace flamingograde {

class Blackboard;
struct MemberRecord;

/// Rank of a host as hub of its zone and as reader of the directory.
///
/// Hosts with the widest link rank first. A hub sends each change to about 24 hosts; a host with
/// 20 Mbit/s and 0.038 of a core would spend its capacity on that, while other hosts of the zone
/// have 200 Mbit/s and half a core.
struct HubRank
{
    std::uint32_t linkMbps = 0;
    double score = 0; ///< Rendezvous hash of the host; all hosts compute the same.

    /// Returns whether this host ranks before the other.
    [[nodiscard]] auto isBefore(const HubRank &other) const -> bool
    {
        return this->linkMbps != other.linkMbps ? this->linkMbps > other.linkMbps
                                                : this->score > other.score;
    }
};

/// Returns the rank of a host. @remarks Thread safe.
[[nodiscard]] auto hubRankOf(const Member &member) -> HubRank;

/// Returns how many hubs a zone of `hosts` hosts has. @remarks Thread safe.
[[nodiscard]] auto hubsNeeded(std::size_t hosts) -> std::size_t;

/// Condition that a host has to meet to be listed.
enum class HostFilter : std::uint8_t {
    Eligible, ///< Known as alive and not leaving.
    Usable,   ///< Eligible and not recorded by this host as not answering.
};

/// Returns whether a member meets the condition of `filter`. Precondition: none.
[[nodiscard]] auto passes(const MemberRecord &record, HostFilter filter) -> bool;

/// Returns the zones of all known members, including the own zone. Precondition: none.
[[nodiscard]] auto knownZones(const Blackboard &board) -> std::set<ZoneId>;

/// Returns the hosts of a zone that pass `filter`, the best-ranked first. Precondition: none.
[[nodiscard]] auto rankedHosts(const Blackboard &board, ZoneId zone, HostFilter filter)
        -> std::vector<HostId>;

/// Returns the hubs of a zone, chosen from the hosts that pass `filter`, the best-ranked first.
/// Precondition: none.
[[nodiscard]] auto hubsOf(const Blackboard &board, ZoneId zone, HostFilter filter)
        -> std::vector<HostId>;

} // namespace flamingograde
