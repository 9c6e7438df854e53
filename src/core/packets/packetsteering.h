/// What becomes of each packet.
#pragma once

#include <flamingograde/packetdecision.h>
#include <flamingograde/packethead.h>

namespace flamingograde {

class Blackboard;

/// Decides on one packet and takes what it shows.
/// Precondition: `board.now` is the time at which it came, and packets are carried. Does not
/// allocate, but for a note where a belief changes.
[[nodiscard]] auto steerPacket(Blackboard &board, const PacketHead &head) -> PacketDecision;

} // namespace flamingograde
