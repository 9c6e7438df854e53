/// What the packet path keeps beside the directory.
#pragma once

#include "core/packets/flowchoice.h"
#include "core/packets/flowtable.h"
#include "core/packets/openingqueue.h"

#include <flamingograde/clock.h>

#include <cstddef>
#include <cstdint>

namespace flamingograde {

/// Flows, openings that wait for an answer, and when packets came.
/// @remarks Not thread safe.
struct PacketState
{
    /// @param flowsTracked flows that are watched; 0: no packets are carried.
    /// @param policy how new flows are placed.
    PacketState(std::size_t flowsTracked, PacketPolicy policy)
        : choice(choiceOf(policy)), flows(flowsTracked)
    {}

    FlowChoice choice; ///< How new flows are placed.
    FlowTable flows;
    OpeningQueue openings;
    MonoTime lastPacket;     ///< When a packet last came.
    MonoTime trustedFrom;    ///< Openings before this may have waited: their callers may have left.
    MonoTime lastSign;       ///< When any upstream last showed life.
    MonoTime lastAnswered;   ///< When the newest opening or request that was answered was sent.
    MonoTime answeredSince;  ///< Since when such were sent without a gap of `config::answerGap`.
    std::uint32_t swept = 0; ///< The next entry of `flows` to be looked at for a forgotten request.
};

} // namespace flamingograde
