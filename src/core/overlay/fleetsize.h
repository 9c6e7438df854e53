/// How large the fleet is, for hosts that know only their own zone in full.
#pragma once

namespace flamingograde {

class Blackboard;

/// Returns whether the fleet has more than `config::flatMembershipHosts` hosts, if the other zones
/// that are known have as many as this one. Precondition: the look-ups of `board.membership` are
/// fresh.
[[nodiscard]] auto isLargeFleet(const Blackboard &board) -> bool;

} // namespace flamingograde
