/// Evidence for and against the death of a host.
#pragma once

#include <flamingograde/ids.h>

namespace flamingograde {

class Blackboard;
struct MemberRecord;

/// Returns whether anything more than the local host's own failure to reach a silent host is
/// evidence of its death.
[[nodiscard]] auto isDeathCredible(const Blackboard &board, const MemberRecord &record) -> bool;

/// Returns whether a silent host has been silent for long enough to be declared dead.
[[nodiscard]] auto isSilentLongEnough(const Blackboard &board, const MemberRecord &record) -> bool;

/// Returns whether the local host's own observations allow it to accept the report of `from` that
/// a member is dead.
[[nodiscard]] auto acceptsDeathReport(const Blackboard &board, HostId from,
                                      const MemberRecord &record) -> bool;

/// Returns whether the member answered a probe that was sent long enough after the local host
/// started, resumed from a pause or stopped being isolated. Such a member counts the local host
/// among those that would take over its cells, and gives the cells up when it is itself cut off.
[[nodiscard]] auto knowsLocalHost(const Blackboard &board, const MemberRecord &record) -> bool;

/// Returns whether every known host of the zone answered a probe sent within the last
/// `config::pauseThreshold`, so that none of them can regard the local host as dead.
[[nodiscard]] auto isAnsweredByWholeZone(const Blackboard &board) -> bool;

} // namespace flamingograde
