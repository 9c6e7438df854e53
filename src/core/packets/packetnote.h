/// What the log says of a packet.
#pragma once

#include <flamingograde/packetdecision.h>
#include <flamingograde/packethead.h>

#include <string>

namespace flamingograde {

class Blackboard;

/// Returns the inputs of a decision and its outcome as `key=value` words: row, reason, upstreams
/// with their load, and the version and age of what decided.
/// Precondition: the decision was made last, on this blackboard.
[[nodiscard]] auto describePacket(const Blackboard &board, const PacketHead &head,
                                  const PacketDecision &decision) -> std::string;

} // namespace flamingograde
