/// The precedence of what is said of members.
#include "core/membership/membermerge.h"

#include "core/blackboard.h"
#include "core/membership/deathevidence.h"
#include "core/membership/gossip.h"
#include "core/membership/ownzone.h"

#include <algorithm>
#include <cmath>

namespace flamingograde {

namespace {

/// Each change is told this often, times the logarithm of the fleet's size.
constexpr std::uint32_t tellingsFactor = 3;

auto markChanged(Blackboard &board, MemberRecord &record) -> void
{
    const auto hosts = static_cast<double>(board.membership.records().size());
    record.tellings = tellingsFactor * static_cast<std::uint32_t>(std::ceil(std::log2(hosts + 1)));
    record.changed = board.now.mono;
    board.membership.touch();
}

auto logState(Blackboard &board, const Member &member) -> void
{
    const auto event = [&] {
        switch (member.state) {
        case MemberState::Leaving:
            return LogEvent::MemberLeaving;
        case MemberState::Suspect:
            return LogEvent::MemberSuspected;
        case MemberState::Dead:
            return LogEvent::MemberDead;
        case MemberState::Alive:
            break;
        }
        return LogEvent::MemberJoined;
    }();
    board.log(event, "host=" + member.name + " incarnation=" + std::to_string(member.incarnation));
}

/// Sets whether the member announced a stop; a suspicion says nothing about it.
auto noteLeaving(MemberRecord &record) -> void
{
    if (record.member.state == MemberState::Alive) {
        record.leaving = false;
    } else if (record.member.state == MemberState::Leaving) {
        record.leaving = true;
    }
}

/// Answers what others say of this host.
auto refute(Blackboard &board, MemberRecord &self, const Member &update) -> void
{
    const auto own = self.member.incarnation;
    if (update.incarnation < own
        || (update.incarnation == own && update.state <= self.member.state)) {
        return;
    }
    if (update.state == MemberState::Dead && !isHeardInZone(board)) {
        ++board.membership.deaths;
    }
    board.log(LogEvent::MemberRefuted, "incarnation=" + std::to_string(update.incarnation));
    raiseIncarnation(board, update.incarnation);
    pushGossip(board);
}

} // namespace

auto isNewer(const Member &said, const Member &known) -> bool
{
    if (said.incarnation != known.incarnation) {
        return said.incarnation > known.incarnation;
    }
    return said.state > known.state;
}

auto insertMember(Blackboard &board, Member member) -> std::pair<MemberRecord &, bool>
{
    member.id = HostId::ofName(member.name);
    member.zone = ZoneId::ofName(member.zoneName);
    const auto [found, added] = board.membership.records().try_emplace(member.id);
    auto &record = found->second;
    if (added) {
        record.member = std::move(member);
        record.heard = board.now.mono;
        noteLeaving(record);
        board.membership.touch();
    }
    return { record, added };
}

auto addMember(Blackboard &board, Member member) -> MemberRecord &
{
    const auto [record, added] = insertMember(board, std::move(member));
    if (!added) {
        return record;
    }
    markChanged(board, record);
    if (record.member.id != board.membership.self) {
        logState(board, record.member);
    }
    return record;
}

auto mergeMember(Blackboard &board, HostId from, const Member &said) -> void
{
    auto *record = board.membership.record(said.id);
    if (record == nullptr) {
        auto &added = addMember(board, said);
        if (isInOwnZone(board, added) && said.state == MemberState::Dead) {
            changeMember(board, added, MemberState::Suspect);
        }
        return;
    }
    if (said.id == board.membership.self) {
        refute(board, *record, said);
        return;
    }
    auto update = said;
    if (said.state == MemberState::Dead && from != said.id && !mayBeDead(board, from, *record)) {
        record->confirmed = record->confirmed || record->unanswered;
        update.state = MemberState::Suspect;
    }
    if (!isNewer(update, record->member)) {
        return;
    }
    const auto before = record->member.state;
    record->member = update;
    noteLeaving(*record);
    markChanged(board, *record);
    if (before != update.state) {
        logState(board, update);
    }
    if (update.state >= MemberState::Suspect) {
        record->probeSoon = true;
        sendPeer(board, update.id, Ping { 0, makeGossip(board, update.id) });
    }
    if (update.state >= MemberState::Suspect) {
        return;
    }
    record->unanswered = false;
    record->confirmed = false;
    if (before >= MemberState::Suspect) {
        pushGossip(board);
    }
}

auto changeMember(Blackboard &board, MemberRecord &record, MemberState state) -> void
{
    record.member.state = state;
    noteLeaving(record);
    markChanged(board, record);
    logState(board, record.member);
    pushGossip(board);
}

auto raiseIncarnation(Blackboard &board, std::uint64_t incarnation) -> void
{
    auto &record = *board.membership.record(board.membership.self);
    record.member.incarnation = std::max(record.member.incarnation, incarnation) + 1;
    markChanged(board, record);
}

} // namespace flamingograde
