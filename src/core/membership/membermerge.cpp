/// Precedence of reports about members, and refutation of reports about the local host.
#include "core/membership/membermerge.h"

#include "core/blackboard.h"
#include "core/membership/deathevidence.h"
#include "core/membership/gossip.h"
#include "core/membership/ownzone.h"

#include <algorithm>
#include <cmath>

namespace flamingograde {

namespace {

/// A change is sent this many times, multiplied by the binary logarithm of the fleet's size.
constexpr std::uint32_t gossipSendFactor = 3;

auto markChanged(Blackboard &board, MemberRecord &record) -> void
{
    const auto hosts = static_cast<double>(board.membership.records().size());
    record.remainingGossipSends =
            gossipSendFactor * static_cast<std::uint32_t>(std::ceil(std::log2(hosts + 1)));
    record.changed = board.now.mono;
    board.membership.invalidateLookups();
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

/// Updates whether the member announced a stop. A suspicion or death leaves that unchanged.
auto updateLeaving(MemberRecord &record) -> void
{
    if (record.member.state == MemberState::Alive) {
        record.leaving = false;
    } else if (record.member.state == MemberState::Leaving) {
        record.leaving = true;
    }
}

/// Refutes a report about the local host by raising its incarnation, if the report is newer.
auto refute(Blackboard &board, MemberRecord &self, const Member &update) -> void
{
    const auto ownIncarnation = self.member.incarnation;
    if (update.incarnation < ownIncarnation
        || (update.incarnation == ownIncarnation && update.state <= self.member.state)) {
        return;
    }
    if (update.state == MemberState::Dead && !isAnsweredByWholeZone(board)) {
        ++board.membership.presumedDeaths;
    }
    board.log(LogEvent::MemberRefuted, "incarnation=" + std::to_string(update.incarnation));
    raiseIncarnation(board, update.incarnation);
    pushGossip(board);
}

} // namespace

auto isNewer(const Member &reported, const Member &known) -> bool
{
    if (reported.incarnation != known.incarnation) {
        return reported.incarnation > known.incarnation;
    }
    return reported.state > known.state;
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
        updateLeaving(record);
        board.membership.invalidateLookups();
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

auto mergeMember(Blackboard &board, HostId from, const Member &reported) -> void
{
    auto *record = board.membership.record(reported.id);
    if (record == nullptr) {
        auto &added = addMember(board, reported);
        if (isInOwnZone(board, added) && reported.state == MemberState::Dead) {
            changeMember(board, added, MemberState::Suspect);
        }
        return;
    }
    if (reported.id == board.membership.self) {
        refute(board, *record, reported);
        return;
    }
    auto update = reported;
    if (reported.state == MemberState::Dead && from != reported.id
        && !acceptsDeathReport(board, from, *record)) {
        record->failureConfirmed = record->failureConfirmed || record->unanswered;
        update.state = MemberState::Suspect;
    }
    if (!isNewer(update, record->member)) {
        return;
    }
    const auto previousState = record->member.state;
    record->member = update;
    updateLeaving(*record);
    markChanged(board, *record);
    if (previousState != update.state) {
        logState(board, update);
    }
    if (update.state >= MemberState::Suspect) {
        record->probeRequested = true;
        sendPeer(board, update.id, Ping { 0, makeGossip(board, update.id) });
    }
    if (update.state >= MemberState::Suspect) {
        return;
    }
    record->unanswered = false;
    record->failureConfirmed = false;
    if (previousState >= MemberState::Suspect) {
        pushGossip(board);
    }
}

auto changeMember(Blackboard &board, MemberRecord &record, MemberState state) -> void
{
    record.member.state = state;
    updateLeaving(record);
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
