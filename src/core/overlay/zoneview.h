/// What a host knows of the fleet: all hosts of its zone, a few of each other zone.
#pragma once

#include <flamingograde/ids.h>
#include <flamingograde/member.h>
#include <flamingograde/message.h>

#include <vector>

namespace flamingograde {

class Blackboard;
struct MemberRecord;
struct ViewChanges;

/// Takes what is said of a member, where it is newer: a higher incarnation goes first, then the
/// order of `MemberState`. What is wrong of this host itself is answered with a higher incarnation.
///
/// Of another zone at most `config::contactsPerZone` hosts are kept beside those that are
/// connected, so that what a host knows does not grow with the fleet.
/// Precondition: `OverlayController` started.
auto learnMember(Blackboard &board, const Member &said, ViewChanges &changes) -> void;

/// Adds or renews a member that is connected, also beyond the bound for its zone.
/// Precondition: as above. @returns its record.
auto learnConnected(Blackboard &board, Member member, ViewChanges &changes) -> MemberRecord &;

/// Changes the state of a member of the own zone at its present incarnation, and has it told.
/// Precondition: as above.
auto setMemberState(Blackboard &board, MemberRecord &record, MemberState state,
                    ViewChanges &changes) -> void;

/// Returns what a host of another zone is told when a connection is new: the best hosts of this
/// zone and of its own, and one of each other zone. Precondition: as above.
[[nodiscard]] auto introductionFor(const Blackboard &board, ZoneId zone) -> std::vector<Member>;

/// Drops contacts above the bound that are not connected, and hosts that ended long ago.
/// Precondition: as above.
auto trimView(Blackboard &board) -> void;

} // namespace flamingograde
