/// Announces new tables to other hosts and checks whether all hosts place keys alike.
#include "core/configuration/tableannouncement.h"

#include "core/blackboard.h"
#include "core/membership/gossip.h"
#include "core/membership/ownzone.h"

#include <algorithm>

namespace flamingograde {

namespace {

constexpr std::size_t announcementsMax = 16; ///< Most hosts to which one new table is announced.

/// Returns whether a dead host's process has certainly ended: its machine refuses connections,
/// while other hosts of its zone are reachable.
auto hasEnded(const Blackboard &board, const MemberRecord &record) -> bool
{
    return record.member.state == MemberState::Dead && record.refusals >= config::refusalsUntilDead
           && !board.membership.voters(record.member.zone).empty();
}

/// Returns whether this host would receive messages from the recorded host if that one were
/// running.
auto isHeardDirectly(const Blackboard &board, const MemberRecord &record) -> bool
{
    return board.membership.records().size() <= config::flatMembershipHosts || record.connected
           || isInOwnZone(board, record);
}

} // namespace

auto announceTable(Blackboard &board) -> void
{
    std::size_t announced = 0;
    for (auto &[id, record] : board.membership.records()) {
        if (announced == announcementsMax) {
            return;
        }
        if (record.connected && record.revision < board.config.revision) {
            announced += sendPeer(board, id, Ping { 0, makeGossip(board, id) }) ? 1 : 0;
        }
    }
}

auto updatePlacementAgreement(Blackboard &board) -> void
{
    auto &placements = board.config.placements;
    const auto now = board.now.mono;
    placements.expire(board.now.wall);
    if (placements.isAgreed() || !board.membership.knowsFleet(now)
        || board.membership.isIsolated(now)) {
        return;
    }
    const auto &records = board.membership.records();
    const auto hasSamePlacements = [&](const auto &entry) {
        const auto &record = entry.second;
        return entry.first == board.membership.self || record.placements == placements.digest()
               || hasEnded(board, record) || !isHeardDirectly(board, record);
    };
    if (std::all_of(records.begin(), records.end(), hasSamePlacements)) {
        placements.markAgreed(board.now.wall);
    }
}

} // namespace flamingograde
