/// Tells the zone what is new of its hosts.
#pragma once

#include <flamingograde/clock.h>

namespace flamingograde {

class Blackboard;

/// Gathers changes of the zone's hosts and sends them on along the hubs.
///
/// Hosts that start together come in a few messages in place of one each.
/// @remarks Not thread safe.
class NewsSpread
{
public:
    /// Sends what was gathered, if it is time. Precondition: to be called on each `Tick`.
    auto tick(Blackboard &board) -> void;
    /// Sends what was gathered now: this host stops. Precondition: none.
    static auto sendNow(Blackboard &board) -> void;

private:
    MonoTime next;
};

} // namespace flamingograde
