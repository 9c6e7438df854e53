/// Decision on each packet.
#pragma once

#include <flamingograde/packetdecision.h>
#include <flamingograde/packethead.h>

namespace flamingograde {

class Blackboard;

/// Decides where one packet goes, and updates the state of its flow and upstream.
/// Precondition: `board.now` is the time at which it arrived, and this host carries packets. Does
/// not allocate, except for a log entry when an upstream becomes silent or is heard again.
[[nodiscard]] auto steerPacket(Blackboard &board, const PacketHead &head) -> PacketDecision;

} // namespace flamingograde
