/// Whether a key that a home has not seen can have been run by anyone.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

namespace flamingograde {

class Blackboard;
struct Exchange;
struct KnownFrom;

/// Returns whether it is proved that no host dispatched the key of `exchange` before.
///
/// A key with a birth time is fresh if it was made after everything that this host cannot know of:
/// its tenure's begin or what the former home told it, a change of the table that moved the key
/// here, and dispatches it forgot. A key without one is fresh if all that is longer ago than keys
/// are remembered anywhere. Precondition: this host is home of the cell and has no record of the
/// key.
[[nodiscard]] auto isProvablyFresh(const Blackboard &board, const Exchange &exchange) -> bool;

/// Returns whether a former home's "unseen" proves it: as `isProvablyFresh`, with the former home's
/// tenure.
/// @param told from when the former home remembers every dispatch.
[[nodiscard]] auto isProvedBy(const Blackboard &board, const Exchange &exchange,
                              const KnownFrom &told) -> bool;

/// Returns from when this host knows every dispatch of `cell`, for another host.
/// @param known the same at the begin of its tenure.
[[nodiscard]] auto knownFromNow(const Blackboard &board, CellId cell, const KnownFrom &known)
        -> KnownFrom;

} // namespace flamingograde
