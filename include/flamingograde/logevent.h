/// The numbered events of the log. docs/EVENTS.md is their catalogue.
#pragma once

#include <cstdint>
#include <string_view>

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
    SettingsRead        = 107, ///< The settings file was read anew.
    // 2xx: configuration.
    TableAccepted       = 200, ///< A table is in force.
    TableRefused        = 201, ///< A table has findings; the last good one stays.
    TableOlder          = 202, ///< An older table was offered and ignored.
    TableConflict       = 203, ///< The same revision with another text.
    PlatformLost        = 204, ///< The platform does not answer or answers nonsense.
    PlatformBack        = 205, ///< The platform answers again.
    AddressQuarantined  = 206, ///< An address is to be used for another service; waits.
    RowsAccepted        = 207, ///< Another version of the packet rows is in force.
    DirectoryRefused    = 208, ///< Something the platform published cannot be read.
    // 3xx: membership.
    MemberJoined        = 300,
    MemberSuspected     = 301,
    MemberDead          = 302,
    MemberLeaving       = 303,
    MemberRefuted       = 304, ///< This host was suspected and said otherwise.
    PeerConnected       = 305,
    PeerSilent          = 306, ///< A peer connection went silent and is replaced.
    PeerMessageBad      = 307, ///< A malformed or oversized peer message.
    MembersChanged      = 308, ///< Hosts of the own zone came, stop, or ended.
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
    UpstreamListed      = 606, ///< An upstream is new in the directory.
    UpstreamLeaving     = 607, ///< An upstream gets no new flows: it leaves.
    UpstreamMissing     = 608, ///< An upstream is missing after an outage; it may come back.
    UpstreamRemoved     = 609, ///< An upstream has left the directory.
    UpstreamSilent      = 610, ///< An upstream does not answer callers' packets.
    UpstreamHeard       = 611, ///< A silent upstream answers again.
    DirectoryLoaded     = 613, ///< The first directory: all upstreams at once.
    UpstreamRestarted   = 614, ///< An upstream started again under its former id.
    UpstreamUnusable    = 615, ///< An upstream's entry was replaced by one that cannot be used.
    ZoneEvacuated       = 616, ///< A zone was evacuated: its upstreams get no new flows.
    ZoneTakenBack       = 617, ///< A zone's evacuation ended: its upstreams get new flows.
    CookieShared        = 612, ///< Two upstreams have one cookie; the younger gets no flows.
    // 7xx: packets.
    FlowPlaced          = 700, ///< A new flow was given to an upstream.
    FlowReset           = 701, ///< A flow was reset.
    PacketDropped       = 702, ///< A packet was dropped.
    PacketMalformed     = 703, ///< Bytes that are no packet.
    LinesLeftOut        = 704, ///< Lines that were left out of the log.
    FlowOverdue         = 705, ///< A request of an open flow was sent again: no answer came.
};

// clang-format on

/// Returns the event's name as it stands in the log.
/// @remarks Thread safe.
[[nodiscard]] auto toString(LogEvent event) -> std::string_view;

/// Returns the event's number as it stands in the log.
constexpr auto number(LogEvent event) -> std::uint16_t
{
    return static_cast<std::uint16_t>(event);
}

} // namespace flamingograde
