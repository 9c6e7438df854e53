/// Ranking of a zone's hosts, and the number of its hubs.
#include "core/overlay/zonehubs.h"

#include "core/blackboard.h"
#include "core/rendezvous.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <utility>

namespace flamingograde {

namespace {

/// Rendezvous key that ranks hosts with equally wide links.
const auto rankKey = hashName("directory reader");

} // namespace

auto hubRankOf(const Member &member) -> HubRank
{
    return { member.linkMbps, rendezvousScore(rankKey, { member.id.value() }) };
}

auto hubsNeeded(std::size_t hosts) -> std::size_t
{
    const auto bySize = (hosts + config::hostsPerHub - 1) / config::hostsPerHub;
    return std::min(hosts, std::max(config::hubsMin, bySize));
}

auto passes(const MemberRecord &record, HostFilter filter) -> bool
{
    const auto isEligible = record.member.state == MemberState::Alive && !record.leaving;
    return isEligible && (filter == HostFilter::Eligible || !record.unanswered);
}

auto knownZones(const Blackboard &board) -> std::set<ZoneId>
{
    std::set<ZoneId> zones;
    for (const auto &[id, record] : board.membership.records()) {
        zones.insert(record.member.zone);
    }
    return zones;
}

auto rankedHosts(const Blackboard &board, ZoneId zone, HostFilter filter) -> std::vector<HostId>
{
    std::vector<std::pair<HubRank, HostId>> ranked;
    for (const auto &[id, record] : board.membership.records()) {
        if (record.member.zone == zone && passes(record, filter)) {
            ranked.emplace_back(hubRankOf(record.member), id);
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto &a, const auto &b) { return a.first.isBefore(b.first); });
    std::vector<HostId> hosts;
    hosts.reserve(ranked.size());
    for (const auto &[rank, id] : ranked) {
        hosts.push_back(id);
    }
    return hosts;
}

auto hubsOf(const Blackboard &board, ZoneId zone, HostFilter filter) -> std::vector<HostId>
{
    auto hosts = rankedHosts(board, zone, filter);
    const auto needed = hubsNeeded(board.membership.voters(zone).size());
    hosts.resize(std::min(hosts.size(), needed));
    return hosts;
}

} // namespace flamingograde
