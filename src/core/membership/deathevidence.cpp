/// When a host that does not answer may be taken for dead.
///
/// Where a host is wrongly taken for dead, two hosts are home of its cells. It gives them up itself
/// within `config::pauseThreshold` when it is cut off or paused, so nobody may take them earlier.
#include "core/membership/deathevidence.h"

#include "core/blackboard.h"
#include "core/membership/ownzone.h"

#include <algorithm>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

/// Two hosts that are left judge by refused connections once all others are dead for this long.
constexpr Duration lastOtherAfter = 10s;

/// A host that answers knows after this that the one that asked is alive.
constexpr Duration refutationGrace = 500ms;

/// Returns whether all hosts beside this one and that of `record` are dead, and not just now: a cut
/// that comes in steps shall not look like this.
auto isLastOther(const Blackboard &board, const MemberRecord &record) -> bool
{
    const auto &records = board.membership.records();
    return std::all_of(records.begin(), records.end(), [&](const auto &entry) {
        const auto &[id, other] = entry;
        return id == board.membership.self || id == record.member.id
               || (other.member.state == MemberState::Dead
                   && board.now.mono - other.changed >= lastOtherAfter);
    });
}

} // namespace

auto isDeathCredible(const Blackboard &board, const MemberRecord &record) -> bool
{
    const auto &membership = board.membership;
    const auto refused = record.refusals >= config::refusalsOfDead;
    if (refused && isLastOther(board, record)) {
        return true;
    }
    const auto unlisted = !record.listed && membership.listedAt > record.unansweredSince;
    if (unlisted && record.everListed && membership.connectedCount() == 0) {
        return true;
    }
    if (!record.confirmed || board.now.mono - membership.isolatedAt < config::refusedTimeout) {
        return false;
    }
    const auto neighbour = isInOwnZone(board, record);
    return !neighbour || refused || knowsUs(board, record) || (unlisted && membership.listedSelf);
}

auto isSilentLongEnough(const Blackboard &board, const MemberRecord &record) -> bool
{
    const auto now = board.now.mono;
    const auto silence = now - std::max({ record.heard, record.vouched, record.unansweredSince });
    if (record.refusals >= config::refusalsOfDead) {
        return silence >= config::refusedTimeout;
    }
    return now - record.changed >= config::suspicionTimeout && silence >= config::suspicionTimeout;
}

auto mayBeDead(const Blackboard &board, HostId from, const MemberRecord &record) -> bool
{
    const auto now = board.now.mono;
    const auto since = std::max(record.heard, board.membership.isolatedAt);
    if (now - since < config::refusedTimeout) {
        return false;
    }
    if (!isInOwnZone(board, record)) {
        return true;
    }
    if (!record.unanswered || now - record.unansweredSince < config::refusedTimeout) {
        return false;
    }
    const auto *sender = board.membership.find(from);
    const auto isNeighbour = sender != nullptr && sender->zone == board.init.self.zone;
    return isNeighbour || record.refusals >= config::refusalsOfDead || knowsUs(board, record);
}

auto knowsUs(const Blackboard &board, const MemberRecord &record) -> bool
{
    const auto &membership = board.membership;
    return record.acked > std::max(membership.isolatedAt, membership.pausedAt) + refutationGrace;
}

auto isHeardInZone(const Blackboard &board) -> bool
{
    const auto &records = board.membership.records();
    return std::all_of(records.begin(), records.end(), [&](const auto &entry) {
        const auto &record = entry.second;
        return entry.first == board.membership.self || !isInOwnZone(board, record)
               || board.now.mono - record.acked < config::pauseThreshold;
    });
}

} // namespace flamingograde
