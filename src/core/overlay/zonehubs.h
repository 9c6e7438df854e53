/// The hosts of an availability zone through which its other hosts hear what is new.
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

/// How well a host serves as hub of its zone, and as reader of the directory.
///
/// The widest link first: a hub sends each change to about 24 hosts, and with 20 Mbit/s and 0.038
/// of a core beside hosts with 200 Mbit/s and half a core it would spend its share on that.
struct HubRank
{
    std::uint32_t linkMbps = 0;
    double score = 0; ///< Drawn by rendezvous, the same on all hosts.

    /// Returns whether this host goes before the other.
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

/// Which hosts are counted.
enum class HostFilter : std::uint8_t {
    Eligible, ///< At work, as far as is known.
    Usable,   ///< These, but for those that do not answer this host.
};

/// Returns whether a member passes a filter. Precondition: none.
[[nodiscard]] auto passes(const MemberRecord &record, HostFilter filter) -> bool;

/// Returns the zones of which this host knows a member, its own included. Precondition: none.
[[nodiscard]] auto knownZones(const Blackboard &board) -> std::set<ZoneId>;

/// Returns the hosts of a zone that pass, the best hub first. Precondition: none.
[[nodiscard]] auto rankedHosts(const Blackboard &board, ZoneId zone, HostFilter filter)
        -> std::vector<HostId>;

/// Returns the hubs of a zone among the hosts that pass, the best first. Precondition: none.
[[nodiscard]] auto hubsOf(const Blackboard &board, ZoneId zone, HostFilter filter)
        -> std::vector<HostId>;

} // namespace flamingograde
