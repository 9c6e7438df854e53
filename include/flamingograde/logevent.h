/// The numbered events of the log. docs/EVENTS.md is their catalogue.
#pragma once

#include <cstdint>

namespace flamingograde {

// clang-format off

/// A log event's number. The hundreds name the matter; a number is never reused.
enum class LogEvent : std::uint16_t {
    // 1xx: the process.
    Started             = 100, ///< The host serves.
    StopBegan           = 101, ///< An orderly stop began.
    StopWaits           = 102, ///< What an orderly stop waits for.
    Stopped             = 103, ///< The host stopped; says what was left.
    PauseNoticed        = 104, ///< The process had been paused.
    SettingRefused      = 105, ///< A setting is wrong.
    ListenFailed        = 106, ///< A row's address cannot be listened on; tried again.
    // 2xx: configuration.
    TableAccepted       = 200, ///< A table is in force.
    TableRefused        = 201, ///< A table has findings; the last good one stays.
    TableOlder          = 202, ///< An older table was offered and ignored.
    TableConflict       = 203, ///< The same revision with another text.
    PlatformLost        = 204, ///< The platform does not answer or answers nonsense.
    PlatformBack        = 205, ///< The platform answers again.
    AddressQuarantined  = 206, ///< An address is to be used for another service; waits.
    // 3xx: membership.
    MemberJoined        = 300,
    MemberSuspected     = 301,
    MemberDead          = 302,
    MemberLeaving       = 303,
    MemberRefuted       = 304, ///< This host was suspected and said otherwise.
    PeerConnected       = 305,
    PeerSilent          = 306, ///< A peer connection went silent and is replaced.
    PeerMessageBad      = 307, ///< A malformed or oversized peer message.
    // 4xx: homes and keys.
    TenureBegan         = 400, ///< This host is home of cells.
    TenureEnded         = 401, ///< This host is no longer home of cells.
    KeyAnsweredAgain    = 402, ///< A repeated key got the stored answer.
    KeyAnsweredUnknown  = 403, ///< A key may have been run before.
    // 5xx: requests.
    RequestRefused      = 500,
    TokenRefused        = 501,
    ServiceUnknown      = 502,
    BodyTooLarge        = 503,
    AnswerLost          = 504, ///< An answer broke off or was lost.
    CallerGone          = 505,
    // 6xx: upstreams.
    UpstreamEjected     = 600,
    UpstreamReturned    = 601,
    UpstreamDrained     = 602, ///< A draining upstream has no work of this host left.
    UpstreamShed        = 603,
    FeedReopened        = 604, ///< A feed was reopened at the same upstream.
    FeedMoved           = 605, ///< A feed's caller was asked to come back at another host.
};

// clang-format on

/// Returns the event's number as it stands in the log.
constexpr auto number(LogEvent event) -> std::uint16_t
{
    return static_cast<std::uint16_t>(event);
}

} // namespace flamingograde
