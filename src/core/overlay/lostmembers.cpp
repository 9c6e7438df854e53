/// When to dial a lost host, and when it is held dead.
#include "core/overlay/lostmembers.h"

#include "core/blackboard.h"
#include "core/membership/ownzone.h"
#include "core/overlay/viewchanges.h"
#include "core/overlay/zoneview.h"

#include <algorithm>
#include <chrono>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr Duration reviewPeriod = 1s;
constexpr Duration dialPeriod = 3s;  ///< Of one lost host.
constexpr Duration auditPeriod = 2s; ///< The first hub dials another host each so often.
/// Longer than a machine is without power, a process paused or a link cut, in most cases: a host
/// that comes back is found in its place.
constexpr Duration deadAfter = 15s;
constexpr std::uint32_t dialsOfDead = 3; ///< Failed dials in a row before a host is held dead.

auto hasNeighbour(const Blackboard &board) -> bool
{
    const auto &records = board.membership.records();
    return std::any_of(records.begin(), records.end(), [&](const auto &entry) {
        return entry.second.connected && isInOwnZone(board, entry.second);
    });
}

/// Returns whether a host of the zone may have ended without anyone's notice.
auto isUnwatched(const Blackboard &board, const MemberRecord &record) -> bool
{
    return isInOwnZone(board, record) && record.member.id != board.membership.self
           && !record.connected && record.member.state != MemberState::Dead && !record.link.lostAt;
}

} // namespace

auto LostMembers::lost(Blackboard &board, const PeerDown &down) -> void
{
    auto &record = *board.membership.record(down.host);
    if (isUnwatched(board, record)) {
        record.link.lostAt = board.now.mono;
    }
}

auto LostMembers::tick(Blackboard &board, ViewChanges &changes) -> void
{
    if (board.now.mono < this->nextReview || !board.links.isHub(board.membership.self)) {
        return;
    }
    this->nextReview = board.now.mono + reviewPeriod;
    if (!hasNeighbour(board)) {
        // Cut off: what was lost before gets its time anew.
        for (auto &[id, record] : board.membership.records()) {
            record.link.lostAt.reset();
        }
        return;
    }
    this->audit(board);
    for (auto &[id, record] : board.membership.records()) {
        if (record.link.lostAt && !record.connected && record.member.state != MemberState::Dead) {
            this->review(board, record, changes);
        }
    }
}

auto LostMembers::review(Blackboard &board, MemberRecord &record, ViewChanges &changes) -> void
{
    const auto now = board.now.mono;
    const auto isSilent = now - *record.link.lostAt >= deadAfter && now - record.heard >= deadAfter;
    if (isSilent && record.link.failedDials >= dialsOfDead) {
        setMemberState(board, record, MemberState::Dead, changes);
        return;
    }
    if (now >= record.nextDial) {
        record.nextDial = now + dialPeriod;
        board.act(ConnectPeer { record.member.id, record.member.peer });
    }
}

auto LostMembers::audit(Blackboard &board) -> void
{
    const auto isFirst = board.links.hubs.front() == board.membership.self;
    if (!isFirst || board.now.mono < this->nextAudit) {
        return;
    }
    this->nextAudit = board.now.mono + auditPeriod;
    auto &records = board.membership.records();
    const auto isDue = [&](auto &entry) { return isUnwatched(board, entry.second); };
    auto found = std::find_if(records.upper_bound(this->lastAudited), records.end(), isDue);
    if (found == records.end()) {
        found = std::find_if(records.begin(), records.end(), isDue);
    }
    if (found != records.end()) {
        this->lastAudited = found->first;
        found->second.link.lostAt = board.now.mono;
    }
}

} // namespace flamingograde
