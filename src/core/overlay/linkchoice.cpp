/// Hubs within the zone, contacts beyond it.
#include "core/overlay/linkchoice.h"

#include "core/blackboard.h"
#include "core/membership/ownzone.h"
#include "core/overlay/zonehubs.h"
#include "core/rendezvous.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace flamingograde {

namespace {

/// Returns the other hosts of `hosts`.
auto othersOf(const Blackboard &board, const std::vector<HostId> &hosts) -> std::vector<HostId>
{
    std::vector<HostId> others;
    std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(others),
                 [&](HostId host) { return host != board.membership.self; });
    return others;
}

/// Adds the first `most` hosts of each other zone.
auto addContacts(const Blackboard &board, HostFilter filter, std::size_t most,
                 std::vector<HostId> &hosts) -> void
{
    for (const auto zone : knownZones(board)) {
        if (zone == board.init.self.zone) {
            continue;
        }
        const auto ranked = rankedHosts(board, zone, filter);
        const auto count = static_cast<std::ptrdiff_t>(std::min(ranked.size(), most));
        hosts.insert(hosts.end(), ranked.begin(), ranked.begin() + count);
    }
}

/// Returns those of `hubs` that this host prefers, the first one first.
auto firstInOwnOrder(const Blackboard &board, std::vector<HostId> hubs) -> std::vector<HostId>
{
    const auto self = board.membership.self.value();
    std::sort(hubs.begin(), hubs.end(), [self](HostId a, HostId b) {
        return rendezvousScore(self, { a.value() }) > rendezvousScore(self, { b.value() });
    });
    hubs.resize(std::min(hubs.size(), config::hubLinks));
    return hubs;
}

} // namespace

auto chooseLinks(const Blackboard &board) -> LinkState
{
    const auto zone = board.init.self.zone;
    LinkState links;
    links.hubs = hubsOf(board, zone, HostFilter::Usable);
    links.wanted = othersOf(board, links.hubs);
    links.missed = othersOf(board, hubsOf(board, zone, HostFilter::Eligible));
    if (links.isHub(board.membership.self) || links.hubs.empty()) {
        addContacts(board, HostFilter::Usable, config::linksPerZone, links.wanted);
        addContacts(board, HostFilter::Eligible, config::contactsPerZone, links.missed);
    } else {
        links.wanted = firstInOwnOrder(board, std::move(links.wanted));
        links.missed = firstInOwnOrder(board, std::move(links.missed));
        links.feed = links.wanted.front();
    }
    const auto isAnswering = [&](HostId host) {
        return !board.membership.record(host)->unanswered;
    };
    links.missed.erase(std::remove_if(links.missed.begin(), links.missed.end(), isAnswering),
                       links.missed.end());
    return links;
}

auto spreadTargets(const Blackboard &board, HostId from) -> std::vector<HostId>
{
    const auto isFromHub = from != board.membership.self && board.links.isHub(from);
    std::vector<HostId> targets;
    for (const auto &[id, record] : board.membership.records()) {
        if (id == from || !record.connected || !isInOwnZone(board, record)) {
            continue;
        }
        const auto isFed = record.link.use == LinkUse::Feed;
        if (isFed || (!isFromHub && board.links.isHub(id))) {
            targets.push_back(id);
        }
    }
    return targets;
}

} // namespace flamingograde
