/// Drops records of hosts that ended.
#include "core/membership/forgetting.h"

#include "core/blackboard.h"

#include <chrono>
#include <vector>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

/// A dead host that is not listed is forgotten after this: old word of it goes round no longer.
constexpr Duration forgetAfter = 60s;

auto isGone(const Blackboard &board, const MemberRecord &record) -> bool
{
    return record.member.state == MemberState::Dead && !record.listed && !record.connected
           && board.now.mono - record.changed > forgetAfter;
}

} // namespace

auto forgetMember(Blackboard &board, HostId host) -> void
{
    board.act(DropPeer { host });
    board.membership.touch();
    board.membership.records().erase(host);
}

auto forgetGone(Blackboard &board) -> void
{
    std::vector<HostId> gone;
    for (const auto &[id, record] : board.membership.records()) {
        if (isGone(board, record)) {
            gone.push_back(id);
        }
    }
    for (const auto host : gone) {
        forgetMember(board, host);
    }
}

} // namespace flamingograde
