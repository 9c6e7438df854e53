/// When a suspected host is dialled, and when it is declared dead.
#include "core/overlay/deadhostdetector.h"

#include "core/blackboard.h"
#include "core/membership/ownzone.h"
#include "core/overlay/viewchanges.h"
#include "core/overlay/zoneview.h"

#include <algorithm>
#include <chrono>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr Duration reviewPeriod = 1s; ///< Period at which suspected hosts are reviewed.
constexpr Duration dialPeriod = 3s;   ///< Pause between two dials of one suspected host.
/// Period at which the first hub begins to suspect and thus dials one unmonitored host.
constexpr Duration checkPeriod = 2s;
/// Longer than most power failures, process pauses and link failures last, so that a host that
/// returns after one of them has not been declared dead.
constexpr Duration deadAfter = 15s;
/// Failed dials in a row that are required before a host is declared dead.
constexpr std::uint32_t dialsBeforeDead = 3;

/// Returns whether this host is connected with a host of its zone.
auto isConnectedWithZone(const Blackboard &board) -> bool
{
    const auto &records = board.membership.records();
    return std::any_of(records.begin(), records.end(), [&](const auto &entry) {
        return entry.second.connected && isInOwnZone(board, entry.second);
    });
}

/// Returns whether the member is another host of the zone that is neither connected, nor suspected,
/// nor dead, so that its death would not be noticed here.
auto isUnmonitored(const Blackboard &board, const MemberRecord &record) -> bool
{
    return isInOwnZone(board, record) && record.member.id != board.membership.self
           && !record.connected && record.member.state != MemberState::Dead
           && !record.link.suspectedSince;
}

} // namespace

auto DeadHostDetector::lost(Blackboard &board, const PeerDown &down) -> void
{
    auto &record = *board.membership.record(down.host);
    if (isUnmonitored(board, record)) {
        record.link.suspectedSince = board.now.mono;
    }
}

auto DeadHostDetector::tick(Blackboard &board, ViewChanges &changes) -> void
{
    if (board.now.mono < this->nextReview || !board.links.isHub(board.membership.self)) {
        return;
    }
    this->nextReview = board.now.mono + reviewPeriod;
    if (!isConnectedWithZone(board)) {
        // This host is cut off from its zone and cannot observe it: all suspicions are dropped.
        for (auto &[id, record] : board.membership.records()) {
            record.link.suspectedSince.reset();
        }
        return;
    }
    this->checkNextHost(board);
    for (auto &[id, record] : board.membership.records()) {
        if (record.link.suspectedSince && !record.connected
            && record.member.state != MemberState::Dead) {
            this->review(board, record, changes);
        }
    }
}

auto DeadHostDetector::review(Blackboard &board, MemberRecord &record, ViewChanges &changes) -> void
{
    const auto now = board.now.mono;
    const auto isSilent =
            now - *record.link.suspectedSince >= deadAfter && now - record.heard >= deadAfter;
    if (isSilent && record.link.failedDials >= dialsBeforeDead) {
        setMemberState(board, record, MemberState::Dead, changes);
        return;
    }
    if (now >= record.nextDial) {
        record.nextDial = now + dialPeriod;
        board.addAction(ConnectPeer { record.member.id, record.member.peer });
    }
}

auto DeadHostDetector::checkNextHost(Blackboard &board) -> void
{
    const auto isFirst = board.links.hubs.front() == board.membership.self;
    if (!isFirst || board.now.mono < this->nextCheck) {
        return;
    }
    this->nextCheck = board.now.mono + checkPeriod;
    auto &records = board.membership.records();
    const auto isDue = [&](auto &entry) { return isUnmonitored(board, entry.second); };
    auto found = std::find_if(records.upper_bound(this->lastChecked), records.end(), isDue);
    if (found == records.end()) {
        found = std::find_if(records.begin(), records.end(), isDue);
    }
    if (found != records.end()) {
        this->lastChecked = found->first;
        found->second.link.suspectedSince = board.now.mono;
    }
}

} // namespace flamingograde
