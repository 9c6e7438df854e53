/// Merges reports about members into the local view.
#pragma once

#include "core/membership/memberrecord.h"

#include <flamingograde/ids.h>
#include <flamingograde/member.h>

#include <utility>

namespace flamingograde {

class Blackboard;

/// Returns whether a report about a member supersedes the known state: the higher incarnation wins,
/// then the later `MemberState` in the order of its declaration. @remarks Thread safe.
[[nodiscard]] auto isNewer(const Member &reported, const Member &known) -> bool;

/// Adds a member if it is unknown, without gossiping it.
/// @returns its record, and whether it was added.
auto insertMember(Blackboard &board, Member member) -> std::pair<MemberRecord &, bool>;

/// Adds a member if it is unknown, and gossips it.
/// @returns its record; `MemberRecord::member` is unchanged if the member was known.
auto addMember(Blackboard &board, Member member) -> MemberRecord &;

/// Merges a report by `from` about a member if it is newer (see `isNewer`). Newer reports about
/// the local host are refuted.
///
/// A report that a member is dead is accepted only if the local host does not hear it either. A
/// member of the local zone must in addition have failed to answer the local host for
/// `config::refusedTimeout`, and either the sender is of the zone too, or the member refuses
/// connections because its process ended, or the member knew of the local host: otherwise it may be
/// still running as the only home of the zone's cells.
auto mergeMember(Blackboard &board, HostId from, const Member &reported) -> void;

/// Changes a member's state at its current incarnation, and gossips the change.
auto changeMember(Blackboard &board, MemberRecord &record, MemberState state) -> void;

/// Raises the local host's incarnation above `incarnation`, and marks the change for gossip.
auto raiseIncarnation(Blackboard &board, std::uint64_t incarnation) -> void;

} // namespace flamingograde
