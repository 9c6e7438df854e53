/// What becomes of a request at a host that is not, or no longer, its cell's home.
#pragma once

namespace flamingograde {

class Blackboard;
struct Exchange;

/// Hands a caller's request back to be placed again, and refuses a relayed one as not run, so that
/// its sender places it again.
/// Precondition: nothing of it was sent.
/// @remarks A relayed exchange is gone afterwards.
auto giveBack(Blackboard &board, Exchange &exchange) -> void;

} // namespace flamingograde
