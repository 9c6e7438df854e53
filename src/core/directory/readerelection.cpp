/// Elects a candidate per zone, and the zones whose candidates read the directory.
#include "core/directory/readerelection.h"

#include "core/blackboard.h"
#include "core/overlay/zonehubs.h"
#include "core/rendezvous.h"

#include <flamingograde/config.h>

#include <map>

namespace flamingograde {

namespace {

/// Rendezvous key that selects the zones whose candidates read.
const auto readerZonesKey = hashName("directory reader");

/// The host of a zone that reads the directory if its zone is selected.
struct Candidate
{
    HostId host;
    bool hasFailingReads = false; ///< Then so do those of all reachable hosts of its zone.
    HubRank rank;
};

/// Returns whether this host has a working connection to another one, or is that host.
auto isReachable(const Blackboard &board, const MemberRecord &record) -> bool
{
    const auto isSelf = record.member.id == board.membership.self;
    return isSelf || (record.connected && passes(record, HostFilter::Usable));
}

auto readsFail(const Blackboard &board, const MemberRecord &record) -> bool
{
    return record.member.id == board.membership.self ? board.directoryReadsFail : record.readsFail;
}

/// Returns whether `a` is preferred to `b`: working reads first, then the better rank.
///
/// A reader's link carries each version from the platform and to each host of its zone, so wide
/// links rank first. Three versions a second of 1,931 rows, several hundred kilobytes each, kept a
/// link of 10 Mbit/s busy for 5 s, during which the host received no packet of a caller.
auto isPreferred(const Candidate &a, const Candidate &b) -> bool
{
    if (a.hasFailingReads != b.hasFailingReads) {
        return b.hasFailingReads;
    }
    return a.rank.isBefore(b.rank);
}

/// Returns the candidate of each zone that has at least one reachable host.
auto candidatesByZone(const Blackboard &board) -> std::map<ZoneId, Candidate>
{
    std::map<ZoneId, Candidate> candidates;
    for (const auto &[id, record] : board.membership.records()) {
        if (!isReachable(board, record)) {
            continue;
        }
        const Candidate candidate { id, readsFail(board, record), hubRankOf(record.member) };
        const auto [found, added] = candidates.emplace(record.member.zone, candidate);
        if (!added && isPreferred(candidate, found->second)) {
            found->second = candidate;
        }
    }
    return candidates;
}

} // namespace

auto isDirectoryReader(const Blackboard &board) -> bool
{
    const auto candidates = candidatesByZone(board);
    const auto own = candidates.find(board.init.self.zone);
    if (own == candidates.end() || own->second.host != board.membership.self) {
        return false;
    }
    const auto rankOf = [](const std::pair<const ZoneId, Candidate> &entry) {
        const auto score = rendezvousScore(readerZonesKey, { entry.first.value() });
        return Candidate { entry.second.host, entry.second.hasFailingReads, HubRank { 0, score } };
    };
    std::size_t preferred = 0;
    for (const auto &entry : candidates) {
        preferred += isPreferred(rankOf(entry), rankOf(*own)) ? 1 : 0;
    }
    return preferred < config::directoryReaderZones;
}

auto isZoneCandidate(const Blackboard &board) -> bool
{
    const auto candidates = candidatesByZone(board);
    const auto own = candidates.find(board.init.self.zone);
    return own != candidates.end() && own->second.host == board.membership.self;
}

auto crossZoneRecipients(const Blackboard &board) -> std::vector<HostId>
{
    std::vector<HostId> hosts;
    for (const auto &[zone, candidate] : candidatesByZone(board)) {
        if (zone != board.init.self.zone) {
            hosts.push_back(candidate.host);
        }
    }
    return hosts;
}

} // namespace flamingograde
