/// How what is heard of a member changes what is known of it.
#pragma once

#include "core/membership/memberrecord.h"

#include <flamingograde/ids.h>
#include <flamingograde/member.h>

#include <utility>

namespace flamingograde {

class Blackboard;

/// Returns whether what is said of a member goes before what is known: a higher incarnation first,
/// then the order of `MemberState`. @remarks Thread safe.
[[nodiscard]] auto isNewer(const Member &said, const Member &known) -> bool;

/// Adds a member if it is new, and tells nobody of it.
/// @returns its record, and whether it was added.
auto insertMember(Blackboard &board, Member member) -> std::pair<MemberRecord &, bool>;

/// Adds a member that a seed or the platform names, if it is new.
/// @returns its record; `MemberRecord::member` is left as it is where it was known.
auto addMember(Blackboard &board, Member member) -> MemberRecord &;

/// Takes what `from` says of a member, where it is newer: a higher incarnation goes first, then the
/// order of `MemberState`. What concerns this host itself is refuted.
///
/// That a member is dead is taken from others only where this host does not hear it either. Of a
/// host of the own zone, it must have failed to answer this host for `config::refusedTimeout`, and
/// either the sender is of the zone too, or the dead one has an ended process or knew of this
/// host: otherwise it may go on as the only home of the zone.
auto mergeMember(Blackboard &board, HostId from, const Member &update) -> void;

/// Changes a member's state at its present incarnation, and has it told to others.
auto changeMember(Blackboard &board, MemberRecord &record, MemberState state) -> void;

/// Raises this host's incarnation above `incarnation`, and has it told to others.
auto raiseIncarnation(Blackboard &board, std::uint64_t incarnation) -> void;

} // namespace flamingograde
