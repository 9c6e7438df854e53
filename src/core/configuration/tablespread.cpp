/// Who has the table in force, and who is to be told of it.
#include "core/configuration/tablespread.h"

#include "core/blackboard.h"
#include "core/membership/gossip.h"
#include "core/membership/ownzone.h"

#include <algorithm>

namespace flamingograde {

namespace {

constexpr std::size_t announcedMax = 16; ///< Hosts told at once of a new table.

/// Returns whether a dead host's process has surely ended: its machine refuses connections, while
/// other hosts of its zone are reached.
auto isGone(const Blackboard &board, const MemberRecord &record) -> bool
{
    return record.member.state == MemberState::Dead && record.refusals >= config::refusalsOfDead
           && !board.membership.voters(record.member.zone).empty();
}

/// Returns whether this host would hear from a host that is at work.
auto isHeardDirectly(const Blackboard &board, const MemberRecord &record) -> bool
{
    return board.membership.records().size() <= config::flatMembershipHosts || record.connected
           || isInOwnZone(board, record);
}

} // namespace

auto announceTable(Blackboard &board) -> void
{
    std::size_t told = 0;
    for (auto &[id, record] : board.membership.records()) {
        if (told == announcedMax) {
            return;
        }
        if (record.connected && record.revision < board.config.revision) {
            told += sendPeer(board, id, Ping { 0, makeGossip(board, id) }) ? 1 : 0;
        }
    }
}

auto reviewPlacements(Blackboard &board) -> void
{
    auto &placements = board.config.placements;
    const auto now = board.now.mono;
    placements.expire(board.now.wall);
    if (placements.isAgreed() || !board.membership.knowsFleet(now)
        || board.membership.isIsolated(now)) {
        return;
    }
    const auto &records = board.membership.records();
    const auto agrees = [&](const auto &entry) {
        const auto &record = entry.second;
        return entry.first == board.membership.self || record.placements == placements.digest()
               || isGone(board, record) || !isHeardDirectly(board, record);
    };
    if (std::all_of(records.begin(), records.end(), agrees)) {
        placements.agree(board.now.wall);
    }
}

} // namespace flamingograde
