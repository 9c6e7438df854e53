/// Log text for a packet.
#pragma once

#include <flamingograde/packetdecision.h>
#include <flamingograde/packethead.h>

#include <string>

namespace flamingograde {

class Blackboard;

/// Returns a decision and its inputs as `key=value` words: reason, row, upstreams with their load,
/// and the version and age of the configuration that it was based on.
/// Precondition: `decision` is the last one made on this blackboard.
[[nodiscard]] auto describePacket(const Blackboard &board, const PacketHead &head,
                                  const PacketDecision &decision) -> std::string;

} // namespace flamingograde
