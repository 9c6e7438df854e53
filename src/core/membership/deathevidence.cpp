/// When a host that does not answer may be declared dead.
///
/// If a host is wrongly declared dead, its cells have two homes. A host that is isolated or paused
/// gives up its cells within `config::pauseThreshold`, so no other host may take them over earlier.
#include "core/membership/deathevidence.h"

#include "core/blackboard.h"
#include "core/membership/ownzone.h"

#include <algorithm>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

/// When only two hosts are left, refused connections alone are evidence of death once all other
/// hosts have been dead for this long.
constexpr Duration onlyOtherHostDelay = 10s;

/// After this long, a host that answers probes knows that the host that sends them is alive.
constexpr Duration refutationGrace = 500ms;

/// Returns whether all hosts other than the local one and that of `record` have been dead for
/// `onlyOtherHostDelay`. The delay excludes network partitions that cut off hosts in several steps.
auto isOnlyOtherHost(const Blackboard &board, const MemberRecord &record) -> bool
{
    const auto &records = board.membership.records();
    return std::all_of(records.begin(), records.end(), [&](const auto &entry) {
        const auto &[id, other] = entry;
        return id == board.membership.self || id == record.member.id
               || (other.member.state == MemberState::Dead
                   && board.now.mono - other.changed >= onlyOtherHostDelay);
    });
}

} // namespace

auto isDeathCredible(const Blackboard &board, const MemberRecord &record) -> bool
{
    const auto &membership = board.membership;
    const auto refused = record.refusals >= config::refusalsUntilDead;
    if (refused && isOnlyOtherHost(board, record)) {
        return true;
    }
    const auto unlisted = !record.listed && membership.listedAt > record.unansweredSince;
    if (unlisted && record.everListed && membership.connectedCount() == 0) {
        return true;
    }
    if (!record.failureConfirmed
        || board.now.mono - membership.lastIsolatedAt < config::refusedTimeout) {
        return false;
    }
    const auto inOwnZone = isInOwnZone(board, record);
    return !inOwnZone || refused || knowsLocalHost(board, record)
           || (unlisted && membership.everListedSelf);
}

auto isSilentLongEnough(const Blackboard &board, const MemberRecord &record) -> bool
{
    const auto now = board.now.mono;
    const auto silence =
            now - std::max({ record.heard, record.lastReportedAliveAt, record.unansweredSince });
    if (record.refusals >= config::refusalsUntilDead) {
        return silence >= config::refusedTimeout;
    }
    return now - record.changed >= config::suspicionTimeout && silence >= config::suspicionTimeout;
}

auto acceptsDeathReport(const Blackboard &board, HostId from, const MemberRecord &record) -> bool
{
    const auto now = board.now.mono;
    const auto since = std::max(record.heard, board.membership.lastIsolatedAt);
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
    const auto isSenderInOwnZone = sender != nullptr && sender->zone == board.init.self.zone;
    return isSenderInOwnZone || record.refusals >= config::refusalsUntilDead
           || knowsLocalHost(board, record);
}

auto knowsLocalHost(const Blackboard &board, const MemberRecord &record) -> bool
{
    const auto &membership = board.membership;
    return record.lastAckedProbeAt
           > std::max(membership.lastIsolatedAt, membership.resumedAt) + refutationGrace;
}

auto isAnsweredByWholeZone(const Blackboard &board) -> bool
{
    const auto &records = board.membership.records();
    return std::all_of(records.begin(), records.end(), [&](const auto &entry) {
        const auto &record = entry.second;
        return entry.first == board.membership.self || !isInOwnZone(board, record)
               || board.now.mono - record.lastAckedProbeAt < config::pauseThreshold;
    });
}

} // namespace flamingograde
