/// The part of the packet path that runs with events rather than packets.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/event.h>

namespace flamingograde {

class Blackboard;

/// Reviews what waits for an answer, and writes down what packets changed.
/// @remarks Not thread safe.
class PacketController
{
public:
    /// Takes one event. Precondition: `board.now` is the time of it.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    MonoTime lastTick;
};

} // namespace flamingograde
