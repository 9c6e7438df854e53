/// Chooses hubs of the own zone, and contacts in other zones.
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

/// Returns `hosts` without this host.
auto withoutSelf(const Blackboard &board, const std::vector<HostId> &hosts) -> std::vector<HostId>
{
    std::vector<HostId> others;
    std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(others),
                 [&](HostId host) { return host != board.membership.self; });
    return others;
}

/// Appends the `most` best-ranked hosts of each other zone to `hosts`.
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

/// Returns the `config::hubLinks` hubs with the highest rendezvous score for this host, the highest
/// first.
auto preferredHubs(const Blackboard &board, std::vector<HostId> hubs) -> std::vector<HostId>
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
    links.wanted = withoutSelf(board, links.hubs);
    links.unresponsive = withoutSelf(board, hubsOf(board, zone, HostFilter::Eligible));
    if (links.isHub(board.membership.self) || links.hubs.empty()) {
        addContacts(board, HostFilter::Usable, config::linksPerZone, links.wanted);
        addContacts(board, HostFilter::Eligible, config::contactsPerZone, links.unresponsive);
    } else {
        links.wanted = preferredHubs(board, std::move(links.wanted));
        links.unresponsive = preferredHubs(board, std::move(links.unresponsive));
        links.feed = links.wanted.front();
    }
    const auto isAnswering = [&](HostId host) {
        return !board.membership.record(host)->unanswered;
    };
    links.unresponsive.erase(
            std::remove_if(links.unresponsive.begin(), links.unresponsive.end(), isAnswering),
            links.unresponsive.end());
    return links;
}

auto forwardTargets(const Blackboard &board, HostId from) -> std::vector<HostId>
{
    const auto isFromHub = from != board.membership.self && board.links.isHub(from);
    std::vector<HostId> targets;
    for (const auto &[id, record] : board.membership.records()) {
        if (id == from || !record.connected || !isInOwnZone(board, record)) {
            continue;
        }
        const auto usesSelfAsFeed = record.link.use == LinkUse::Changes;
        if (usesSelfAsFeed || (!isFromHub && board.links.isHub(id))) {
            targets.push_back(id);
        }
    }
    return targets;
}

} // namespace flamingograde
