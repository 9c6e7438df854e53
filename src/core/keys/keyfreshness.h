/// Decides whether a key without a record at its home may have been run by any host.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

namespace flamingograde {

class Blackboard;
struct Exchange;
struct KnownFrom;

/// Returns whether it is certain that no host has dispatched the key of `exchange`.
///
/// A key with a birth time is fresh if it was made after the latest dispatch that this host may not
/// know about: one before its tenure began (or before the time from which the former home told it
/// of every dispatch), one in another zone before a table change moved the key here, or one whose
/// record this host has forgotten. A key without a birth time is fresh if all of these are longer
/// ago than any host remembers a key. Precondition: this host is home of the cell and has no record
/// of the key.
[[nodiscard]] auto isProvablyFresh(const Blackboard &board, const Exchange &exchange) -> bool;

/// Returns whether the key of `exchange` is fresh given that the former home reported it as unseen.
/// Applies the rules of `isProvablyFresh` with the former home's knowledge in place of this host's.
/// @param known time from which the former home knows every dispatch.
[[nodiscard]] auto isProvablyFreshGiven(const Blackboard &board, const Exchange &exchange,
                                        const KnownFrom &known) -> bool;

/// Returns the time from which this host knows every dispatch of `cell`, to be reported to another
/// host.
/// @param known the time from which this host knew every dispatch when its tenure began.
[[nodiscard]] auto knownFromNow(const Blackboard &board, CellId cell, const KnownFrom &known)
        -> KnownFrom;

} // namespace flamingograde
