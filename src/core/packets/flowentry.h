/// State that a host keeps for one flow.
#pragma once

#include "core/packets/flowkey.h"

#include <flamingograde/cookie.h>

#include <cstdint>

namespace flamingograde {

/// Progress of a flow's opening or of its current request.
enum class FlowStage : std::uint8_t {
    Free,    ///< The entry is unused.
    Opening, ///< Its opening packet was forwarded; no second packet has arrived.
    Idle,    ///< It is open and no request is pending.
    Waiting, ///< It is open and a request is pending.
    Overdue, ///< Its caller has retransmitted the pending request once.
    Lost,    ///< Its caller has retransmitted the pending request twice.
};

/// A tracked flow. Its entry may be overwritten at any time, so no decision may depend on it for
/// correctness: packets of open flows are steered by their cookie.
struct FlowEntry
{
    FlowKey key;
    std::uint32_t upstream = 0;     ///< Index of the upstream's entry in the directory.
    Cookie cookie;                  ///< The upstream's cookie, to detect that the index was reused.
    std::uint32_t lastPacketAt = 0; ///< When its last packet arrived, in ms of `FlowTable::clock`.
    std::uint32_t sentAt = 0;       ///< When its opening or its last request was first forwarded.
    std::uint32_t acknowledged = 0; ///< The caller's newest acknowledgement number.
    std::uint32_t sequence = 0;     ///< Sequence number of the caller's newest data.
    FlowStage stage = FlowStage::Free;
    bool isUnderWay = false;         ///< Its opening or request counts as work of its upstream.
    bool awaitsFirstRequest = false; ///< This host placed it and no request has arrived on it.
    float loadAtStart = 0;      ///< Requests per slot of the service when the request was sent.
    std::uint16_t restarts = 0; ///< The upstream's `UpstreamEntry::restarts`, to detect a restart.
};

} // namespace flamingograde
