/// The one way in which an exchange is refused.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/refusal.h>

namespace flamingograde {

class Blackboard;
struct Exchange;

/// Returns what can truthfully be said of the execution of `exchange` if it ends now.
///
/// `NotRun` only if nothing of it may have been sent and it does not wait on another request with
/// its key.
[[nodiscard]] auto verdictOf(const Exchange &exchange) -> Verdict;

/// Answers `exchange` with a refusal, counts and logs it, and removes it from every store.
///
/// The verdict is that of `verdictOf`.
/// @param retryAfter when to come back; 0 where coming back does not help.
/// @remarks `exchange` is gone afterwards.
auto refuse(Blackboard &board, Exchange &exchange, RefusalReason reason, Duration retryAfter)
        -> void;

/// Answers `exchange` with a given refusal, such as a home's, counts and logs it, and removes it
/// from every store.
/// @remarks `exchange` is gone afterwards.
auto refuse(Blackboard &board, Exchange &exchange, const Refusal &refusal) -> void;

/// Answers an exchange or feed of which no store has a record yet, or which is a feed: not run.
auto refuseUnrun(Blackboard &board, ExchangeId exchange, RefusalReason reason, Duration retryAfter)
        -> void;

/// Removes `exchange` from every store (cells, keys, exchanges, feeds) without answering it.
auto forget(Blackboard &board, ExchangeId exchange) -> void;

} // namespace flamingograde
