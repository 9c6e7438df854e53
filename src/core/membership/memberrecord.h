/// What the local host records about one member, including what no message carries.
#pragma once

#include "core/overlay/linkrecord.h"

#include <flamingograde/clock.h>
#include <flamingograde/member.h>
#include <flamingograde/revision.h>

#include <cstdint>
#include <optional>

namespace flamingograde {

/// A member and the local host's observations of it.
struct MemberRecord
{
    Member member;
    LinkRecord link;  ///< Connection state, on hosts that connect with a part of the fleet only.
    MonoTime changed; ///< When its state or incarnation last changed.
    MonoTime heard;   ///< When it last sent anything; until then, when it was added.
    MonoTime lastAckedProbeAt;    ///< Send time of the newest probe that it answered.
    MonoTime lastReportedAliveAt; ///< When another host last reported that it reaches it.
    MonoTime unansweredSince;     ///< When it stopped answering the local host, if `unanswered`.
    MonoTime nextDial;            ///< It is not dialled before this.
    MonoTime nextIndirectProbe;   ///< No indirect probe of it is requested before this.
    Duration backoff { 0 };       ///< Pause after the next failed dial.
    Revision revision;            ///< Revision of its table, as last reported.
    Revision directory;           ///< Revision of its directory, as last reported or sent to it.
    std::uint64_t placements = 0; ///< Digest of its key placements, as last reported.
    std::uint32_t refusals = 0;   ///< Refused dials since it was last heard.
    std::uint32_t remainingGossipSends = 0;   ///< Messages that are still to carry its last change.
    std::optional<MonoTime> viewDiffersSince; ///< Since when its view and the local one differ.
    bool hasCurrentDirectory = false; ///< Its directory was current at some time, as last reported.
    bool readsFail = false;           ///< Its directory reads fail, as last reported.
    bool connected = false;
    bool viewsNotCompared = false; ///< Not compared with the local view since it connected.
    bool listed = false;           ///< In the platform's last host list.
    bool everListed = false;       ///< In any host list of the platform.
    bool leaving = false;          ///< Announced a stop; set until it is reported alive again.
    bool unanswered = false;       ///< A probe or dial by the local host failed.
    bool probeRequested = false;   ///< The local host probes it with the next tick.
    bool failureConfirmed = false; ///< Since `unansweredSince`, another host failed to reach it.
};

} // namespace flamingograde
