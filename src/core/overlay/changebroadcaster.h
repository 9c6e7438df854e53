/// Distribution of membership changes within the own zone.
#pragma once

#include <flamingograde/clock.h>

namespace flamingograde {

class Blackboard;

/// Collects changes of the zone's hosts and sends them in batches along the hubs.
///
/// Hosts that start together are announced in a few messages instead of one each.
/// @remarks Not thread safe.
class ChangeBroadcaster
{
public:
    /// Sends collected changes, if due. Precondition: called on each `Tick`.
    auto tick(Blackboard &board) -> void;
    /// Sends collected changes without delay, as this host stops. Precondition: none.
    static auto sendNow(Blackboard &board) -> void;

private:
    MonoTime nextBatch;
};

} // namespace flamingograde
