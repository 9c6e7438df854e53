/// Members from seeds and the platform's host list.
#include "core/membershipcontroller.h"

#include "core/blackboard.h"

namespace flamingograde {

namespace {

auto addMember(Blackboard &board, Member member) -> void
{
    member.id = HostId::ofName(member.name);
    member.zone = ZoneId::ofName(member.zoneName);
    board.membership.records().try_emplace(member.id).first->second.member = member;
}

} // namespace

auto MembershipController::handle(Blackboard &board, const Event &event) -> void
{
    if (!board.membership.self.isValid()) {
        board.membership.self = board.init.self.id;
        board.membership.startedAt = board.now.mono;
        addMember(board, board.init.self);
        for (const auto &seed : board.init.seeds) {
            addMember(board, seed);
        }
    }
    if (const auto *fetched = std::get_if<HostsFetched>(&event)) {
        for (const auto &host : fetched->hosts) {
            addMember(board, host);
        }
    }
    board.membership.refresh();
    board.stats.membersAlive = board.membership.aliveCount();
}

} // namespace flamingograde
