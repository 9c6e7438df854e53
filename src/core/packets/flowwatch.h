/// Learns load and signs of life of upstreams from callers' packets.
#pragma once

#include "core/packets/flowentry.h"

#include <flamingograde/packethead.h>

#include <cstdint>

namespace flamingograde {

class Blackboard;

/// What a packet of an open flow says of a request.
enum class RequestSign : std::uint8_t {
    None,    ///< It has no data, or its flow is not watched.
    Asks,    ///< Data of a request that waits for its answer.
    Overdue, ///< The same, and the first to show that its caller sent the request again.
};

/// Watches the flow of an opening packet that is forwarded to the upstream at `upstream`.
/// Precondition: `flow` is in the table under the packet's key, or was claimed for it.
auto watchOpening(Blackboard &board, FlowEntry &flow, const PacketHead &head,
                  std::uint32_t upstream) -> void;

/// Takes a later packet of a flow that is forwarded to the upstream at `upstream`.
/// Precondition: the packet opens nothing.
/// @returns what it says of a request.
auto watchPacket(Blackboard &board, const PacketHead &head, std::uint32_t upstream) -> RequestSign;

/// Ends the watch of a flow: its request, if any, is no longer counted.
auto unwatch(Blackboard &board, FlowEntry &flow) -> void;

/// Judges openings that were not answered in time, and forgets requests without packets.
/// Precondition: to be called on each `Tick`, after the packets that came before it.
auto reviewFlows(Blackboard &board) -> void;

/// Forgets what waits for an answer, and takes no opening of the next `config::distrustTime` for
/// evidence: the process was paused or has just begun to read, and callers of packets that waited
/// may have given up.
auto distrustOpenings(Blackboard &board) -> void;

} // namespace flamingograde
