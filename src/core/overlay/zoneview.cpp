/// Precedence of reports on members, and the bound on contacts in other zones.
#include "core/overlay/zoneview.h"

#include "core/blackboard.h"
#include "core/membership/membermerge.h"
#include "core/membership/memberremoval.h"
#include "core/membership/ownzone.h"
#include "core/overlay/viewchanges.h"
#include "core/overlay/zonehubs.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <map>
#include <utility>

namespace flamingograde {

namespace {

constexpr std::size_t namesLogged = 4; ///< Most hosts named in one log line.

/// Counts a changed member and adds its name while fewer than `namesLogged` are listed.
auto countChange(const Member &member, ViewChanges &changes) -> void
{
    auto &counter = member.state == MemberState::Alive  ? changes.joined
                    : member.state == MemberState::Dead ? changes.dead
                                                        : changes.leaving;
    ++counter;
    if (changes.count() <= namesLogged) {
        changes.names += (changes.names.empty() ? "" : ",") + member.name;
    }
}

/// Records a change of a member. A change in the own zone is logged, unless it is of this host, and
/// is marked to be sent if it is of this host or this host is a hub.
auto recordChange(Blackboard &board, MemberRecord &record, ViewChanges &changes) -> void
{
    record.changed = board.now.mono;
    record.leaving = record.member.state == MemberState::Leaving;
    board.membership.invalidateLookups();
    if (!isInOwnZone(board, record)) {
        return;
    }
    const auto isSelf = record.member.id == board.membership.self;
    record.link.hasUnsentChange = isSelf || board.links.isHub(board.membership.self);
    if (!isSelf) {
        countChange(record.member, changes);
    }
}

/// Returns the members of a zone that are not connected.
auto unconnectedContacts(Blackboard &board, ZoneId zone) -> std::vector<MemberRecord *>
{
    std::vector<MemberRecord *> unconnected;
    for (auto &[id, record] : board.membership.records()) {
        if (record.member.zone == zone && !record.connected) {
            unconnected.push_back(&record);
        }
    }
    return unconnected;
}

auto contactCount(const Blackboard &board, ZoneId zone) -> std::size_t
{
    const auto &records = board.membership.records();
    return static_cast<std::size_t>(
            std::count_if(records.begin(), records.end(),
                          [zone](const auto &entry) { return entry.second.member.zone == zone; }));
}

/// Returns whether contact `a` is removed before `b`: unusable ones first, then the worse-ranked.
auto isRemovedBefore(const MemberRecord &a, const MemberRecord &b) -> bool
{
    const auto answers = passes(a, HostFilter::Usable);
    if (answers != passes(b, HostFilter::Usable)) {
        return !answers;
    }
    return hubRankOf(b.member).isBefore(hubRankOf(a.member));
}

auto worstContact(Blackboard &board, ZoneId zone) -> MemberRecord *
{
    const auto unconnected = unconnectedContacts(board, zone);
    const auto worst =
            std::min_element(unconnected.begin(), unconnected.end(),
                             [](const auto *a, const auto *b) { return isRemovedBefore(*a, *b); });
    return worst == unconnected.end() ? nullptr : *worst;
}

/// Makes room for a new contact of another zone, if need be by removing the worst unconnected one
/// that does not answer or ranks below `member`. @returns whether there is room.
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
    removeMember(board, worst->member.id);
    return true;
}

auto addRecord(Blackboard &board, const Member &member, ViewChanges &changes) -> MemberRecord &
{
    auto &record = insertMember(board, member).first;
    recordChange(board, record, changes);
    return record;
}

/// Updates a known member by a newer report.
auto updateRecord(Blackboard &board, MemberRecord &record, const Member &reported,
                  ViewChanges &changes) -> void
{
    const auto isNewIncarnation = reported.incarnation > record.member.incarnation;
    record.member = reported;
    if (isNewIncarnation && !record.connected) {
        record.unanswered = false;
        record.nextDial = board.now.mono;
    }
    recordChange(board, record, changes);
    if (reported.state == MemberState::Dead && record.connected) {
        record.link.nextPing = board.now.mono; // Alive: ping it now, so that it refutes the report.
    }
}

/// Refutes a newer report on this host by a higher incarnation.
auto refute(Blackboard &board, const Member &reported, ViewChanges &changes) -> void
{
    auto &self = *board.membership.record(board.membership.self);
    if (!isNewer(reported, self.member)) {
        return;
    }
    board.log(LogEvent::MemberRefuted, "incarnation=" + std::to_string(reported.incarnation));
    self.member.incarnation = reported.incarnation + 1;
    recordChange(board, self, changes);
}

} // namespace

auto learnMember(Blackboard &board, const Member &reported, ViewChanges &changes) -> void
{
    if (reported.id == board.membership.self) {
        refute(board, reported, changes);
        return;
    }
    if (auto *record = board.membership.record(reported.id)) {
        if (isNewer(reported, record->member)) {
            updateRecord(board, *record, reported, changes);
        }
        return;
    }
    if (reported.state == MemberState::Dead) {
        return;
    }
    if (reported.zone == board.init.self.zone || makeRoom(board, reported)) {
        addRecord(board, reported, changes);
    }
}

auto learnConnected(Blackboard &board, Member member, ViewChanges &changes) -> MemberRecord &
{
    member.id = HostId::ofName(member.name);
    member.zone = ZoneId::ofName(member.zoneName);
    auto *record = board.membership.record(member.id);
    if (record == nullptr) {
        return addRecord(board, member, changes);
    }
    if (isNewer(member, record->member)) {
        updateRecord(board, *record, member, changes);
    }
    return *record;
}

auto setMemberState(Blackboard &board, MemberRecord &record, MemberState state,
                    ViewChanges &changes) -> void
{
    record.member.state = state;
    recordChange(board, record, changes);
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
    removeExpiredMembers(board);
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
            removeMember(board, worst->member.id);
        }
    }
}

} // namespace flamingograde
