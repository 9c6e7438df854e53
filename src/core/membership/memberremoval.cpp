/// Removes the records of hosts that have ended.
#include "core/membership/memberremoval.h"

#include "core/blackboard.h"

#include <chrono>
#include <vector>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

/// The record of a dead host that is not listed is removed after this; by then no gossip about its
/// earlier states is in circulation that would add it again.
constexpr Duration deadRecordRetention = 60s;

auto isExpired(const Blackboard &board, const MemberRecord &record) -> bool
{
    return record.member.state == MemberState::Dead && !record.listed && !record.connected
           && board.now.mono - record.changed > deadRecordRetention;
}

} // namespace

auto removeMember(Blackboard &board, HostId host) -> void
{
    board.addAction(DropPeer { host });
    board.membership.invalidateLookups();
    board.membership.records().erase(host);
}

auto removeExpiredMembers(Blackboard &board) -> void
{
    std::vector<HostId> expired;
    for (const auto &[id, record] : board.membership.records()) {
        if (isExpired(board, record)) {
            expired.push_back(id);
        }
    }
    for (const auto host : expired) {
        removeMember(board, host);
    }
}

} // namespace flamingograde
