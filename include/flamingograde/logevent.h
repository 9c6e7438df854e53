/// The numbered events of the log. docs/EVENTS.md is their catalogue.
#pragma once

#include <cstdint>
#include <string_view>

namespace flamingograde {

// clang-format off

/// Numbers of log events. The hundreds digit gives the subject; a number is never reused.
enum class LogEvent : std::uint16_t {
    // 1xx: the process.
    Started             = 100, ///< The host has started to serve.
    StopBegan           = 101, ///< An orderly stop began.
    StopWaits           = 102, ///< An orderly stop waits; says for what.
    Stopped             = 103, ///< The host stopped; says which work was left.
    PauseNoticed        = 104, ///< The process was paused and runs again.
    SettingRefused      = 105, ///< A setting is wrong.
    ListenFailed        = 106, ///< Listening on a row's address failed; it is retried.
    SettingsRead        = 107, ///< The settings file was read again.
    // 2xx: configuration.
    TableAccepted       = 200, ///< A new table is in force.
    TableRefused        = 201, ///< A table has findings; the previous one stays in force.
    TableOlder          = 202, ///< An older table was received and ignored.
    TableConflict       = 203, ///< Two tables with different texts have the same revision.
    PlatformLost        = 204, ///< The platform does not answer, or its answers are invalid.
    PlatformBack        = 205, ///< The platform answers again.
    AddressQuarantined  = 206, ///< An address moved to another service; it is used after a pause.
    RowsAccepted        = 207, ///< A new version of the packet rows is in force.
    DirectoryRefused    = 208, ///< Items that the platform published could not be decoded.
    ReadStopped         = 209, ///< This host stopped reading the whole directory, so that others can.
    DirectoryReadOld    = 210, ///< The whole directory was read, older than the one in force.
    PlatformRestored    = 211, ///< The platform was restored from an older copy of its data.
    DirectoryConfirmed  = 212, ///< After a start or a pause, the directory was shown to be current.
    DirectoryOverdue    = 213, ///< No host showed in time that no change is missing; this one reads.
    // 3xx: membership.
    MemberJoined        = 300,
    MemberSuspected     = 301,
    MemberDead          = 302,
    MemberLeaving       = 303,
    MemberRefuted       = 304, ///< This host was suspected and announced that it is alive.
    PeerConnected       = 305,
    PeerSilent          = 306, ///< A peer connection received nothing for too long; it is replaced.
    PeerMessageBad      = 307, ///< A malformed or oversized peer message.
    MembersChanged      = 308, ///< Hosts of the own zone joined, are stopping, or ended.
    // 4xx: homes and keys.
    TenureBegan         = 400, ///< This host became the home of cells.
    TenureEnded         = 401, ///< This host stopped being the home of cells.
    KeyAnsweredAgain    = 402, ///< A request with a repeated key was answered from the store.
    KeyAnsweredUnknown  = 403, ///< A request was refused, as its key may have been run before.
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
    UpstreamDrained     = 602, ///< A draining upstream has finished all work of this host.
    UpstreamShed        = 603,
    FeedReopened        = 604, ///< A feed was reopened at the same upstream.
    FeedMoved           = 605, ///< A feed was ended so that its caller reopens it at another host.
    UpstreamListed      = 606, ///< An upstream was added to the directory.
    UpstreamLeaving     = 607, ///< An upstream is leaving and gets no new flows.
    UpstreamMissing     = 608, ///< An upstream is missing after an outage; it may register again.
    UpstreamRemoved     = 609, ///< An upstream was removed from the directory.
    UpstreamSilent      = 610, ///< An upstream does not answer callers' packets.
    UpstreamHeard       = 611, ///< A silent upstream answers again.
    DirectoryLoaded     = 613, ///< The directory was loaded for the first time, with all upstreams.
    UpstreamRestarted   = 614, ///< An upstream was restarted under its former id.
    UpstreamUnusable    = 615, ///< An upstream's entry was replaced by an unusable one.
    ZoneEvacuated       = 616, ///< A zone was evacuated: its upstreams get no new flows.
    ZoneTakenBack       = 617, ///< A zone's evacuation ended: its upstreams get new flows.
    CookieShared        = 612, ///< Two upstreams have the same cookie; the younger gets no flows.
    OverloadBegan       = 618, ///< A service has no room for some of its new flows.
    OverloadEnded       = 619, ///< A service has room for all of its new flows again.
    // 7xx: packets.
    FlowPlaced          = 700, ///< A new flow was assigned to an upstream.
    FlowReset           = 701, ///< A flow was reset.
    PacketDropped       = 702, ///< A packet was dropped.
    PacketMalformed     = 703, ///< A datagram was not a valid packet.
    LinesLeftOut        = 704, ///< Log lines were suppressed.
    FlowOverdue         = 705, ///< A request of an open flow was resent, as it was not answered.
};

// clang-format on

/// Returns the name of the event in the log.
/// @remarks Thread safe.
[[nodiscard]] auto toString(LogEvent event) -> std::string_view;

/// Returns the number of the event in the log.
constexpr auto number(LogEvent event) -> std::uint16_t
{
    return static_cast<std::uint16_t>(event);
}

} // namespace flamingograde
