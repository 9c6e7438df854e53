/// What placement strategies share: the cells of a service and their homes.
#include "core/placement/placement.h"

#include "core/blackboard.h"
#include "core/keys/keyplacement.h"

#include <algorithm>

namespace flamingograde {

namespace {

/// Returns whether a home answers, as far as is known: this host by its tenure, another by its
/// membership and, in a fleet where all hosts are connected, by the connection with it.
auto isReachable(const Blackboard &board, HostId home, CellId cell) -> bool
{
    if (home == board.init.self.id) {
        return board.tenure.since(cell).has_value() || board.tenure.isClaiming(cell);
    }
    const auto *member = board.membership.find(home);
    if (member == nullptr || member->state != MemberState::Alive) {
        return false;
    }
    return board.membership.isConnected(home)
           || board.membership.aliveCount() > config::flatMembershipHosts;
}

/// Returns whether a home runs requests at once, as far as is known: a claim of this host may still
/// wait for the former home's requests.
auto isReady(const Blackboard &board, HostId home, CellId cell) -> bool
{
    if (home == board.init.self.id) {
        return board.tenure.since(cell).has_value();
    }
    return isReachable(board, home, cell);
}

} // namespace

auto cellChoices(const Blackboard &board, ServiceId service) -> std::vector<CellChoice>
{
    std::vector<CellChoice> choices;
    for (const auto zone : board.table().zonesOf(service)) {
        const auto cell = cellOf(service, zone);
        const auto slots = activeSlots(board.table(), service, zone);
        const auto home = board.membership.homeOf(cell, zone);
        if (slots > 0 && home.isValid()) {
            choices.push_back({ cell, zone, home, slots, isReady(board, home, cell) });
        }
    }
    return choices;
}

auto placeInZone(const Blackboard &board, ServiceId service, ZoneId zone) -> Placed
{
    const auto cell = cellOf(service, zone);
    const auto home = board.membership.homeOf(cell, zone);
    if (!home.isValid()) {
        return PlaceNowhere { RefusalReason::NoHome, false };
    }
    if (!isReachable(board, home, cell)) {
        return PlaceNowhere { RefusalReason::NoHome, true }; // Surely not run, unlike a lost relay.
    }
    if (home == board.init.self.id) {
        return PlaceHere { cell };
    }
    return PlaceAt { cell, zone, home };
}

auto zoneNameOf(const Blackboard &board, CellId cell) -> std::string
{
    const auto &indices = board.table().upstreamsOf(cell);
    return indices.empty() ? std::string() : board.table().upstreams()[indices.front()].zoneName;
}

auto placementOfKey(const Blackboard &board, ServiceId service, const std::string &key,
                    std::optional<WallTime> birth) -> KeyPlacement
{
    return board.config.placements.find({ service, key, birth, board.now.wall });
}

auto isOpenFor(const Blackboard &board, UpstreamId upstream, ServiceId service) -> bool
{
    const auto *entry = board.table().upstream(upstream);
    return entry != nullptr && entry->service == service && entry->state == UpstreamState::Active
           && board.upstreams.isUsable(upstream, board.now.mono)
           && !board.config.isQuarantined(upstream, board.now.mono);
}

auto openUpstreams(const Blackboard &board, ServiceId service) -> std::vector<const Upstream *>
{
    std::vector<const Upstream *> open;
    for (const auto index : board.table().upstreamsOf(service)) {
        const auto &upstream = board.table().upstreams()[index];
        if (isOpenFor(board, upstream.id, service)) {
            open.push_back(&upstream);
        }
    }
    return open;
}

auto ownRunningAt(const Blackboard &board, UpstreamId upstream) -> std::size_t
{
    const auto &all = board.exchanges.all();
    const auto runs = [&](const auto &entry) {
        const auto stage = entry.second.stage;
        return entry.second.upstream == upstream
               && (stage == Stage::Dispatched || stage == Stage::Answering);
    };
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), runs));
}

} // namespace flamingograde
