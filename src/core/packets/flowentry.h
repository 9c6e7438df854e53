/// What a host remembers of one flow.
#pragma once

#include "core/packets/flowkey.h"

#include <flamingograde/cookie.h>

#include <cstdint>

namespace flamingograde {

/// What a flow waits for.
enum class FlowStage : std::uint8_t {
    Free,    ///< The entry is unused.
    Opening, ///< Its opening packet was forwarded; nothing came since.
    Idle,    ///< It is open and no request is under way.
    Waiting, ///< It is open and a request is under way.
    Overdue, ///< The same, and its caller has sent the request again.
    Lost,    ///< The same, and its caller has sent the request a third time.
};

/// A watched flow. Nothing is decided by it that a lost entry would break.
struct FlowEntry
{
    FlowKey key;
    std::uint32_t upstream = 0;     ///< Index of its entry in the directory.
    Cookie cookie;                  ///< Of that upstream, to notice that the index was reused.
    std::uint32_t packetAt = 0;     ///< When its last packet came, in ms of `FlowTable::clock`.
    std::uint32_t sentAt = 0;       ///< When the opening or the request was forwarded.
    std::uint32_t acknowledged = 0; ///< The newest of the caller.
    std::uint32_t sequence = 0;     ///< Of the newest data of the caller.
    FlowStage stage = FlowStage::Free;
    bool awaitsFirstRequest = false; ///< Opened by this host, and no request has arrived on it.
    std::uint16_t life = 0;          ///< Of that upstream, to notice that it started again.
};

} // namespace flamingograde
