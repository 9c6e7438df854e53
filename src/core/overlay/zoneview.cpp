/// The precedence of what is said of members, and the bound on contacts.
#include "core/overlay/zoneview.h"

#include "core/blackboard.h"
#include "core/membership/forgetting.h"
#include "core/membership/membermerge.h"
#include "core/membership/ownzone.h"
#include "core/overlay/viewchanges.h"
#include "core/overlay/zonehubs.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <map>
#include <utility>

namespace flamingograde {

namespace {

constexpr std::size_t namesLogged = 4; ///< Hosts named in one log line.

auto count(const Member &member, ViewChanges &changes) -> void
{
    auto &counter = member.state == MemberState::Alive  ? changes.joined
                    : member.state == MemberState::Dead ? changes.dead
                                                        : changes.leaving;
    ++counter;
    if (changes.count() <= namesLogged) {
        changes.names += (changes.names.empty() ? "" : ",") + member.name;
    }
}

/// Marks a change of the own zone to be logged and, by hubs, to be told.
auto noteChange(Blackboard &board, MemberRecord &record, ViewChanges &changes) -> void
{
    record.changed = board.now.mono;
    record.leaving = record.member.state == MemberState::Leaving;
    board.membership.touch();
    if (!isInOwnZone(board, record)) {
        return;
    }
    const auto isSelf = record.member.id == board.membership.self;
    record.link.isUntold = isSelf || board.links.isHub(board.membership.self);
    if (!isSelf) {
        count(record.member, changes);
    }
}

/// Returns the contacts of a zone that are not connected.
auto idleContacts(Blackboard &board, ZoneId zone) -> std::vector<MemberRecord *>
{
    std::vector<MemberRecord *> idle;
    for (auto &[id, record] : board.membership.records()) {
        if (record.member.zone == zone && !record.connected) {
            idle.push_back(&record);
        }
    }
    return idle;
}

auto contactCount(const Blackboard &board, ZoneId zone) -> std::size_t
{
    const auto &records = board.membership.records();
    return static_cast<std::size_t>(
            std::count_if(records.begin(), records.end(),
                          [zone](const auto &entry) { return entry.second.member.zone == zone; }));
}

/// Returns whether a contact is less worth keeping than another.
auto isWorse(const MemberRecord &a, const MemberRecord &b) -> bool
{
    const auto answers = passes(a, HostFilter::Usable);
    if (answers != passes(b, HostFilter::Usable)) {
        return !answers;
    }
    return hubRankOf(b.member).isBefore(hubRankOf(a.member));
}

auto worstContact(Blackboard &board, ZoneId zone) -> MemberRecord *
{
    const auto idle = idleContacts(board, zone);
    const auto worst = std::min_element(
            idle.begin(), idle.end(), [](const auto *a, const auto *b) { return isWorse(*a, *b); });
    return worst == idle.end() ? nullptr : *worst;
}

/// Makes room for a new contact. @returns whether there is.
auto makeRoom(Blackboard &board, const Member &member) -> bool
{
    if (contactCount(board, member.zone) < config::contactsPerZone) {
        return true;
    }
    const auto *worst = worstContact(board, member.zone);
    if (worst == nullptr) {
        return false;
    }
    if (passes(*worst, HostFilter::Usable)
        && !hubRankOf(member).isBefore(hubRankOf(worst->member))) {
        return false;
    }
    forgetMember(board, worst->member.id);
    return true;
}

auto add(Blackboard &board, const Member &member, ViewChanges &changes) -> MemberRecord &
{
    auto &record = insertMember(board, member).first;
    noteChange(board, record, changes);
    return record;
}

/// Takes newer word of a known member.
auto renew(Blackboard &board, MemberRecord &record, const Member &said, ViewChanges &changes)
        -> void
{
    const auto isOtherLife = said.incarnation > record.member.incarnation;
    record.member = said;
    if (isOtherLife && !record.connected) {
        record.unanswered = false;
        record.nextDial = board.now.mono;
    }
    noteChange(board, record, changes);
    if (said.state == MemberState::Dead && record.connected) {
        record.link.nextQuestion = board.now.mono; // It lives: it is to hear what is said of it.
    }
}

/// Answers what others say of this host, where it is not so.
auto refute(Blackboard &board, const Member &said, ViewChanges &changes) -> void
{
    auto &self = *board.membership.record(board.membership.self);
    if (!isNewer(said, self.member)) {
        return;
    }
    board.log(LogEvent::MemberRefuted, "incarnation=" + std::to_string(said.incarnation));
    self.member.incarnation = said.incarnation + 1;
    noteChange(board, self, changes);
}

} // namespace

auto learnMember(Blackboard &board, const Member &said, ViewChanges &changes) -> void
{
    if (said.id == board.membership.self) {
        refute(board, said, changes);
        return;
    }
    if (auto *record = board.membership.record(said.id)) {
        if (isNewer(said, record->member)) {
            renew(board, *record, said, changes);
        }
        return;
    }
    if (said.state == MemberState::Dead) {
        return;
    }
    if (said.zone == board.init.self.zone || makeRoom(board, said)) {
        add(board, said, changes);
    }
}

auto learnConnected(Blackboard &board, Member member, ViewChanges &changes) -> MemberRecord &
{
    member.id = HostId::ofName(member.name);
    member.zone = ZoneId::ofName(member.zoneName);
    auto *record = board.membership.record(member.id);
    if (record == nullptr) {
        return add(board, member, changes);
    }
    if (isNewer(member, record->member)) {
        renew(board, *record, member, changes);
    }
    return *record;
}

auto setMemberState(Blackboard &board, MemberRecord &record, MemberState state,
                    ViewChanges &changes) -> void
{
    record.member.state = state;
    noteChange(board, record, changes);
}

auto introductionFor(const Blackboard &board, ZoneId zone) -> std::vector<Member>
{
    std::vector<Member> members;
    for (const auto of : knownZones(board)) {
        const auto isNear = of == zone || of == board.init.self.zone;
        const auto most = isNear ? config::contactsPerZone : 1;
        const auto ranked = rankedHosts(board, of, HostFilter::Usable);
        for (std::size_t i = 0; i < std::min(ranked.size(), most); ++i) {
            members.push_back(board.membership.record(ranked[i])->member);
        }
    }
    return members;
}

auto trimView(Blackboard &board) -> void
{
    forgetGone(board);
    std::map<ZoneId, std::size_t> contacts;
    for (const auto &[id, record] : board.membership.records()) {
        contacts[record.member.zone] += isInOwnZone(board, record) ? 0 : 1;
    }
    for (const auto &[zone, size] : contacts) {
        for (auto left = size; left > config::contactsPerZone; --left) {
            const auto *worst = worstContact(board, zone);
            if (worst == nullptr) {
                break;
            }
            forgetMember(board, worst->member.id);
        }
    }
}

} // namespace flamingograde
