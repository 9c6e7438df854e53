/// Refusal and removal of exchanges and feeds. All refusals go through these functions.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/refusal.h>

namespace flamingograde {

class Blackboard;
struct Exchange;

/// Returns the verdict on the execution of `exchange` if it ends now.
///
/// `NotRun` only if no attempt may have been sent and the exchange does not wait for another
/// request with the same key; otherwise `Unknown`.
[[nodiscard]] auto verdictOf(const Exchange &exchange) -> Verdict;

/// Answers `exchange` with a refusal, counts and logs it, and removes it from every store.
///
/// The verdict is that of `verdictOf`.
/// @param retryAfter time after which the caller may retry; 0 if a retry cannot succeed.
/// @remarks The reference `exchange` is invalid afterwards.
auto refuse(Blackboard &board, Exchange &exchange, RefusalReason reason, Duration retryAfter)
        -> void;

/// Answers `exchange` with the given refusal, for example the one received from its home, counts
/// and logs it, and removes it from every store.
/// @remarks The reference `exchange` is invalid afterwards.
auto refuse(Blackboard &board, Exchange &exchange, const Refusal &refusal) -> void;

/// Refuses an arriving request that no store holds yet, or a feed, with `Verdict::NotRun`. Counts
/// and logs the refusal, and removes the feed from the store.
auto refuseNotRun(Blackboard &board, ExchangeId exchange, RefusalReason reason, Duration retryAfter)
        -> void;

/// Removes `exchange` from every store (cells, keys, exchanges, feeds) without answering it.
auto forget(Blackboard &board, ExchangeId exchange) -> void;

} // namespace flamingograde
