/// What this host notes of one member beside what the membership protocol carries.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/member.h>
#include <flamingograde/revision.h>

#include <cstdint>

namespace flamingograde {

/// A member and what was seen of it.
struct MemberRecord
{
    Member member;
    MonoTime changed;           ///< When `member.state` or its incarnation last changed.
    MonoTime heard;             ///< When it last sent anything; meaningless before `everHeard`.
    MonoTime nextDial;          ///< Not dialled before this.
    Duration backoff { 0 };     ///< Pause after the next failed dial.
    Revision revision;          ///< Its table, as it last said.
    std::uint32_t refusals = 0; ///< Refused dials in a row.
    std::uint32_t tellings = 0; ///< How often its last change is still to be gossiped.
    bool everHeard = false;
    bool connected = false;
    bool dialling = false;  ///< A `ConnectPeer` is not answered yet.
    bool listed = false;    ///< In the platform's last host list.
    bool leaving = false;   ///< Announced a stop; holds until a new life of it is heard of.
    bool confirmed = false; ///< Another host cannot reach it either; while suspect.
};

} // namespace flamingograde
