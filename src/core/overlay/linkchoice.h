/// With whom a host keeps connections.
#pragma once

#include "core/overlay/linkstate.h"

namespace flamingograde {

class Blackboard;

/// Chooses the connections of this host.
///
/// A host that is no hub keeps `config::hubLinks`, with hubs of its zone drawn by rendezvous, so
/// that each hub gets an even share and the end of one moves only its own. A hub keeps one with
/// each other hub of its zone and `config::linksPerZone` with hosts of each other zone. So the
/// connections of a host do not grow with the fleet, and a start of all makes some for each host in
/// place of one for each pair.
/// Precondition: the look-ups of `board.membership` are fresh.
[[nodiscard]] auto chooseLinks(const Blackboard &board) -> LinkState;

/// Returns the hosts of the own zone that this host passes on to what it heard from `from`: the
/// hosts it feeds, and the other hubs where the word did not come from one of them.
/// Precondition: none.
[[nodiscard]] auto spreadTargets(const Blackboard &board, HostId from) -> std::vector<HostId>;

} // namespace flamingograde
