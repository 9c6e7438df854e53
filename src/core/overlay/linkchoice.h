/// Choice of the hosts that a host keeps connections with.
#pragma once

#include "core/overlay/linkstate.h"

namespace flamingograde {

class Blackboard;

/// Chooses the connections of this host.
///
/// A host that is not a hub keeps `config::hubLinks` connections with hubs of its zone, chosen by
/// rendezvous hashing: the hosts are spread evenly over the hubs, and when a hub ends, only the
/// hosts connected with it move. A hub keeps one connection with each other hub of its zone and
/// `config::linksPerZone` with hosts of each other zone. The connections of a host therefore do not
/// grow with the fleet, and when all hosts start at once, each opens a few connections instead of
/// one per pair of hosts. A host that knows no usable hub of its zone connects like a hub.
/// Precondition: the look-up tables of `board.membership` are up to date.
[[nodiscard]] auto chooseLinks(const Blackboard &board) -> LinkState;

/// Returns the hosts of the own zone to which this host forwards what it received from `from`: the
/// hosts that use it as their feed, and the hubs, unless `from` is a hub itself. Only connected
/// hosts are returned, and never `from`.
/// @param from the sender, or this host for changes of its own.
/// Precondition: none.
[[nodiscard]] auto forwardTargets(const Blackboard &board, HostId from) -> std::vector<HostId>;

} // namespace flamingograde
