/// State of the packet path outside the directory.
#pragma once

#include "core/packets/checkqueue.h"
#include "core/packets/flowchoice.h"
#include "core/packets/flowtable.h"
#include "core/packets/placementsubset.h"

#include <flamingograde/clock.h>

#include <cstddef>
#include <cstdint>

namespace flamingograde {

/// Tracked flows, pending openings, and the times of recent packets and answers.
/// @remarks Not thread safe.
struct PacketState
{
    /// @param flowsTracked capacity of the flow table; 0: this host does not carry packets.
    /// @param policy how new flows are placed.
    PacketState(std::size_t flowsTracked, PacketPolicy policy)
        : choice(flowChoiceOf(policy)), flows(flowsTracked)
    {}

    FlowChoice choice; ///< How new flows are placed.
    FlowTable flows;
    PlacementSubsets subsets;      ///< Upstreams that this host prefers.
    CheckQueue openings;           ///< Openings without a second packet of their flow.
    CheckQueue requests;           ///< Requests without an answer or a resend.
    MonoTime lastPacket;           ///< When the last packet arrived.
    MonoTime evidenceValidFrom;    ///< Until then, packets may have waited unread: no evidence.
    MonoTime lastHeard;            ///< When any upstream was last heard.
    MonoTime lastAnsweredSentAt;   ///< When the newest answered opening or request was sent.
    MonoTime answeredSince;        ///< Since when the answered ones were sent less than
                                   ///< `config::answerGap` apart.
    std::uint32_t nextToCheck = 0; ///< Index of the flow to check next for an expired request.
};

} // namespace flamingograde
