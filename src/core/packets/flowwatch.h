/// Tracks flows, to learn the load and health of upstreams from callers' packets.
#pragma once

#include "core/packets/flowentry.h"

#include <flamingograde/packethead.h>

#include <cstdint>

namespace flamingograde {

class Blackboard;

/// What a packet of an open flow reveals about a request.
enum class RequestEvidence : std::uint8_t {
    None,    ///< It has no data, or its flow is not tracked.
    Pending, ///< It carries data of a request that awaits its answer.
    Overdue, ///< Like `Pending`, and it is the first retransmission of the request.
};

/// Starts to track the flow of an opening packet that is forwarded to the upstream at directory
/// index `upstream`. Precondition: `flow` is in the table under the packet's key, or was claimed
/// for it.
auto trackOpening(Blackboard &board, FlowEntry &flow, const PacketHead &head,
                  std::uint32_t upstream) -> void;

/// Updates the flow of a later packet, which is forwarded to the upstream at directory index
/// `upstream`. Precondition: the packet is not an opening packet.
/// @returns what the packet reveals about a request.
auto trackPacket(Blackboard &board, const PacketHead &head, std::uint32_t upstream)
        -> RequestEvidence;

/// Stops tracking a flow and frees its entry; its pending request, if any, is no longer counted.
auto stopTracking(Blackboard &board, FlowEntry &flow) -> void;

/// Records openings that were not answered in time, and stops counting requests whose flow has had
/// no packets for `config::requestExpiry`.
/// Precondition: to be called on each `Tick`, after the packets that arrived before it.
auto checkFlowTimeouts(Blackboard &board) -> void;

/// Discards the pending openings, and ignores unanswered openings and resends as evidence for
/// `config::evidenceHoldOff`. Called when the process was paused or has just begun to read packets:
/// callers whose packets waited in the buffer may have given up.
auto suspendEvidence(Blackboard &board) -> void;

} // namespace flamingograde
