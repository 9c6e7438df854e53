/// A host's view of the fleet: all hosts of its zone, a few of each other zone.
#pragma once

#include <flamingograde/ids.h>
#include <flamingograde/member.h>
#include <flamingograde/message.h>

#include <vector>

namespace flamingograde {

class Blackboard;
struct MemberRecord;
struct ViewChanges;

/// Merges a report on a member into the view, if it is newer than what is known: a higher
/// incarnation takes precedence, then the order of `MemberState`. A wrong report on this host
/// itself is refuted with a higher incarnation.
///
/// At most `config::contactsPerZone` hosts of another zone are kept besides connected ones, so that
/// the view does not grow with the fleet.
/// Precondition: `OverlayController` has started.
auto learnMember(Blackboard &board, const Member &reported, ViewChanges &changes) -> void;

/// Adds or updates a connected member, even if that exceeds `config::contactsPerZone`.
/// Precondition: `OverlayController` has started. @returns its record.
auto learnConnected(Blackboard &board, Member member, ViewChanges &changes) -> MemberRecord &;

/// Changes the state of a member of the own zone within its present incarnation, and marks the
/// change to be sent to other hosts. Precondition: `OverlayController` has started.
auto setMemberState(Blackboard &board, MemberRecord &record, MemberState state,
                    ViewChanges &changes) -> void;

/// Returns the members to be sent to a newly connected host of another zone: the best-ranked hosts
/// of this zone and of `zone`, and one of each other zone.
/// Precondition: `OverlayController` has started.
/// @param zone the zone of the connected host.
[[nodiscard]] auto introductionFor(const Blackboard &board, ZoneId zone) -> std::vector<Member>;

/// Removes unconnected contacts above `config::contactsPerZone`, the worst first, and hosts that
/// ended long ago.
/// Precondition: `OverlayController` has started.
auto trimView(Blackboard &board) -> void;

} // namespace flamingograde
