/// Periodic work of the packet path.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/event.h>

namespace flamingograde {

class Blackboard;

/// Checks time-outs and cold limits on each tick, and passes on the log entries that packets
/// caused.
/// @remarks Not thread safe.
class PacketController
{
public:
    /// Handles an event; all but `Tick` are ignored. Precondition: `board.now` is the event's time.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    MonoTime lastTick;
};

} // namespace flamingograde
