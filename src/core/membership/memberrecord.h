/// What this host notes of one member beside what the membership protocol carries.
#pragma once

#include "core/overlay/linkrecord.h"

#include <flamingograde/clock.h>
#include <flamingograde/member.h>
#include <flamingograde/revision.h>

#include <cstdint>
#include <optional>

namespace flamingograde {

/// A member and what was seen of it.
struct MemberRecord
{
    Member member;
    LinkRecord link;              ///< Its connection, on hosts that keep few.
    MonoTime changed;             ///< When its state or incarnation last changed.
    MonoTime heard;               ///< When it last sent anything; when it was added, before that.
    MonoTime acked;               ///< When the newest probe that it answered was sent.
    MonoTime vouched;             ///< When another host last said that it reaches it.
    MonoTime unansweredSince;     ///< Since when it does not answer this host, if `unanswered`.
    MonoTime nextDial;            ///< Not dialled before this.
    MonoTime nextIndirect;        ///< Others are not asked about it before this.
    Duration backoff { 0 };       ///< Pause after the next failed dial.
    Revision revision;            ///< Its table, as it last said.
    Revision directory;           ///< Its directory, as it last said or was sent.
    std::uint64_t placements = 0; ///< Digest of its placements of keys, as it last said.
    std::uint32_t refusals = 0;   ///< Refused dials in a row.
    std::uint32_t tellings = 0;   ///< How often its last change is still to be gossiped.
    std::optional<MonoTime> differsSince; ///< Since when its view of the fleet is another one.
    bool readsFail = false;               ///< Its reads of the directory fail, as it last said.
    bool connected = false;
    bool isNew = false;      ///< Views were not compared since it was connected.
    bool listed = false;     ///< In the platform's last host list.
    bool everListed = false; ///< In any host list of the platform.
    bool leaving = false;    ///< Announced a stop; holds until a new life of it is heard of.
    bool unanswered = false; ///< A probe or dial of this host failed.
    bool probeSoon = false;  ///< To be probed by this host itself, out of turn.
    bool confirmed = false;  ///< Another host does not reach it either, since `unansweredSince`.
};

} // namespace flamingograde
