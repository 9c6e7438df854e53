/// What speaks for and against the death of a host.
#pragma once

#include <flamingograde/ids.h>

namespace flamingograde {

class Blackboard;
struct MemberRecord;

/// Returns whether anything beside this host's own failure speaks for the death of a silent host.
[[nodiscard]] auto isDeathCredible(const Blackboard &board, const MemberRecord &record) -> bool;

/// Returns whether a silent host has been silent for long enough to be dead.
[[nodiscard]] auto isSilentLongEnough(const Blackboard &board, const MemberRecord &record) -> bool;

/// Returns whether this host itself has nothing against the death of a member that `from` tells.
[[nodiscard]] auto mayBeDead(const Blackboard &board, HostId from, const MemberRecord &record)
        -> bool;

/// Returns whether the member answered this host long enough after this one started, woke or came
/// back from being cut off: then it counts this host among those that would take over its cells,
/// and gives them up when it is itself cut off.
[[nodiscard]] auto knowsUs(const Blackboard &board, const MemberRecord &record) -> bool;

/// Returns whether every known host of the zone answered this host lately, so that none of them
/// can hold it to be dead.
[[nodiscard]] auto isHeardInZone(const Blackboard &board) -> bool;

} // namespace flamingograde
