/// The one way in which an exchange is refused.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/refusal.h>

namespace flamingograde {

class Blackboard;
struct Exchange;

/// Answers `exchange` with a refusal, counts and logs it, and removes it from every store.
///
/// The verdict is `NotRun` only if `exchange.maybeSent` is false; otherwise `Unknown`.
/// @param retryAfter when to come back; 0 where coming back does not help.
/// @remarks `exchange` is gone afterwards.
auto refuse(Blackboard &board, Exchange &exchange, RefusalReason reason, Duration retryAfter)
        -> void;

/// Removes `exchange` from every store (cells, keys, exchanges) without answering it.
auto forget(Blackboard &board, ExchangeId exchange) -> void;

} // namespace flamingograde
