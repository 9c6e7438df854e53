/// Hands back a request on a host that is not, or no longer, the home of its cell.
#pragma once

namespace flamingograde {

class Blackboard;
struct Exchange;

/// Queues a request received from a caller to be placed again. Refuses a request relayed by another
/// host as not run, so that the sender places it again.
/// Precondition: nothing of it was sent to an upstream.
/// @remarks A relayed exchange no longer exists afterwards.
auto returnToPlacement(Blackboard &board, Exchange &exchange) -> void;

} // namespace flamingograde
