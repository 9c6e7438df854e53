/// Fleet size estimate for hosts that know all hosts of their own zone only.
#pragma once

namespace flamingograde {

class Blackboard;

/// Returns whether the fleet has more than `config::flatMembershipHosts` hosts, assuming that every
/// known zone has as many hosts as the own one. Precondition: the look-up tables of
/// `board.membership` are up to date.
[[nodiscard]] auto isLargeFleet(const Blackboard &board) -> bool;

} // namespace flamingograde
