/// Candidates of zones, and the zones that read.
#include "core/directory/readerelection.h"

#include "core/blackboard.h"
#include "core/overlay/zonehubs.h"
#include "core/rendezvous.h"

#include <flamingograde/config.h>

#include <map>

namespace flamingograde {

namespace {

/// The key under which zones are drawn whose candidates read.
const auto zoneKey = hashName("directory reader");

/// A zone's candidate.
struct Candidate
{
    HostId host;
    bool fails = false; ///< Its reads fail, as those of all reachable hosts of its zone.
    HubRank rank;
};

/// Returns whether this host hears from another one.
auto isReachable(const Blackboard &board, const MemberRecord &record) -> bool
{
    const auto isSelf = record.member.id == board.membership.self;
    return isSelf || (record.connected && passes(record, HostFilter::Usable));
}

auto readsFail(const Blackboard &board, const MemberRecord &record) -> bool
{
    return record.member.id == board.membership.self ? board.directoryReadsFail : record.readsFail;
}

/// Returns whether `a` goes before `b`.
///
/// A reader's link carries each version from the platform, and to each host of its zone. A storm
/// of three versions a second of 1,931 rows, several hundred kilobytes each, kept one of 10 Mbit/s
/// busy for 5 s, in which it took no packet of a caller.
auto isBetter(const Candidate &a, const Candidate &b) -> bool
{
    if (a.fails != b.fails) {
        return b.fails;
    }
    return a.rank.isBefore(b.rank);
}

/// Returns the candidate of each zone that has a reachable host.
auto candidatesOf(const Blackboard &board) -> std::map<ZoneId, Candidate>
{
    std::map<ZoneId, Candidate> candidates;
    for (const auto &[id, record] : board.membership.records()) {
        if (!isReachable(board, record)) {
            continue;
        }
        const Candidate candidate { id, readsFail(board, record), hubRankOf(record.member) };
        const auto [found, added] = candidates.emplace(record.member.zone, candidate);
        if (!added && isBetter(candidate, found->second)) {
            found->second = candidate;
        }
    }
    return candidates;
}

} // namespace

auto isDirectoryReader(const Blackboard &board) -> bool
{
    const auto candidates = candidatesOf(board);
    const auto own = candidates.find(board.init.self.zone);
    if (own == candidates.end() || own->second.host != board.membership.self) {
        return false;
    }
    const auto rankOf = [](const std::pair<const ZoneId, Candidate> &entry) {
        const auto score = rendezvousScore(zoneKey, { entry.first.value() });
        return Candidate { entry.second.host, entry.second.fails, HubRank { 0, score } };
    };
    std::size_t better = 0;
    for (const auto &entry : candidates) {
        better += isBetter(rankOf(entry), rankOf(*own)) ? 1 : 0;
    }
    return better < config::directoryReaderZones;
}

auto directoryBridges(const Blackboard &board) -> std::vector<HostId>
{
    std::vector<HostId> hosts;
    for (const auto &[zone, candidate] : candidatesOf(board)) {
        if (zone != board.init.self.zone) {
            hosts.push_back(candidate.host);
        }
    }
    return hosts;
}

} // namespace flamingograde
