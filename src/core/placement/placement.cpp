/// Functions shared by the placement strategies: the cells of a service, their homes and upstreams.
#include "core/placement/placement.h"

#include "core/blackboard.h"
#include "core/keys/keyplacement.h"

#include <algorithm>

namespace flamingograde {

namespace {

/// Returns whether the home of a cell is believed to answer. This host does if it holds or claims
/// the cell. Another host does if it is alive and, in a fleet small enough for all hosts to be
/// connected, a connection with it is up.
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

/// Returns whether the home of a cell is believed to run requests without delay. This host does not
/// while it only claims the cell, since the claim may wait for requests of the former home.
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

auto placeInZone(const Blackboard &board, ServiceId service, ZoneId zone) -> PlacementDecision
{
    const auto cell = cellOf(service, zone);
    const auto home = board.membership.homeOf(cell, zone);
    if (!home.isValid()) {
        return NoPlacement { RefusalReason::NoHome, false };
    }
    if (!isReachable(board, home, cell)) {
        // A retry is safe: the exchange was provably not run, unlike one whose relay was lost.
        return NoPlacement { RefusalReason::NoHome, true };
    }
    if (home == board.init.self.id) {
        return LocalHome { cell };
    }
    return RemoteHome { cell, zone, home };
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
