/// The names of log events.
#include <flamingograde/logevent.h>

#include <algorithm>
#include <array>
#include <utility>

namespace flamingograde {

namespace {

using Name = std::pair<LogEvent, std::string_view>;

constexpr std::array<Name, 67> names { {
        { LogEvent::Started, "Started" },
        { LogEvent::StopBegan, "StopBegan" },
        { LogEvent::StopWaits, "StopWaits" },
        { LogEvent::Stopped, "Stopped" },
        { LogEvent::PauseNoticed, "PauseNoticed" },
        { LogEvent::SettingRefused, "SettingRefused" },
        { LogEvent::ListenFailed, "ListenFailed" },
        { LogEvent::SettingsRead, "SettingsRead" },
        { LogEvent::TableAccepted, "TableAccepted" },
        { LogEvent::TableRefused, "TableRefused" },
        { LogEvent::TableOlder, "TableOlder" },
        { LogEvent::TableConflict, "TableConflict" },
        { LogEvent::PlatformLost, "PlatformLost" },
        { LogEvent::PlatformBack, "PlatformBack" },
        { LogEvent::AddressQuarantined, "AddressQuarantined" },
        { LogEvent::RowsAccepted, "RowsAccepted" },
        { LogEvent::DirectoryRefused, "DirectoryRefused" },
        { LogEvent::ReadStopped, "ReadStopped" },
        { LogEvent::DirectoryReadOld, "DirectoryReadOld" },
        { LogEvent::PlatformRestored, "PlatformRestored" },
        { LogEvent::DirectoryConfirmed, "DirectoryConfirmed" },
        { LogEvent::DirectoryOverdue, "DirectoryOverdue" },
        { LogEvent::MemberJoined, "MemberJoined" },
        { LogEvent::MemberSuspected, "MemberSuspected" },
        { LogEvent::MemberDead, "MemberDead" },
        { LogEvent::MemberLeaving, "MemberLeaving" },
        { LogEvent::MemberRefuted, "MemberRefuted" },
        { LogEvent::PeerConnected, "PeerConnected" },
        { LogEvent::PeerSilent, "PeerSilent" },
        { LogEvent::PeerMessageBad, "PeerMessageBad" },
        { LogEvent::MembersChanged, "MembersChanged" },
        { LogEvent::TenureBegan, "TenureBegan" },
        { LogEvent::TenureEnded, "TenureEnded" },
        { LogEvent::KeyAnsweredAgain, "KeyAnsweredAgain" },
        { LogEvent::KeyAnsweredUnknown, "KeyAnsweredUnknown" },
        { LogEvent::RequestRefused, "RequestRefused" },
        { LogEvent::TokenRefused, "TokenRefused" },
        { LogEvent::ServiceUnknown, "ServiceUnknown" },
        { LogEvent::BodyTooLarge, "BodyTooLarge" },
        { LogEvent::AnswerLost, "AnswerLost" },
        { LogEvent::CallerGone, "CallerGone" },
        { LogEvent::UpstreamEjected, "UpstreamEjected" },
        { LogEvent::UpstreamReturned, "UpstreamReturned" },
        { LogEvent::UpstreamDrained, "UpstreamDrained" },
        { LogEvent::UpstreamShed, "UpstreamShed" },
        { LogEvent::FeedReopened, "FeedReopened" },
        { LogEvent::FeedMoved, "FeedMoved" },
        { LogEvent::UpstreamListed, "UpstreamListed" },
        { LogEvent::UpstreamLeaving, "UpstreamLeaving" },
        { LogEvent::UpstreamMissing, "UpstreamMissing" },
        { LogEvent::UpstreamRemoved, "UpstreamRemoved" },
        { LogEvent::UpstreamSilent, "UpstreamSilent" },
        { LogEvent::UpstreamHeard, "UpstreamHeard" },
        { LogEvent::UpstreamRestarted, "UpstreamRestarted" },
        { LogEvent::UpstreamUnusable, "UpstreamUnusable" },
        { LogEvent::ZoneEvacuated, "ZoneEvacuated" },
        { LogEvent::ZoneTakenBack, "ZoneTakenBack" },
        { LogEvent::OverloadBegan, "OverloadBegan" },
        { LogEvent::OverloadEnded, "OverloadEnded" },
        { LogEvent::CookieShared, "CookieShared" },
        { LogEvent::DirectoryLoaded, "DirectoryLoaded" },
        { LogEvent::FlowPlaced, "FlowPlaced" },
        { LogEvent::FlowReset, "FlowReset" },
        { LogEvent::PacketDropped, "PacketDropped" },
        { LogEvent::PacketMalformed, "PacketMalformed" },
        { LogEvent::LinesLeftOut, "LinesLeftOut" },
        { LogEvent::FlowOverdue, "FlowOverdue" },
} };

} // namespace

auto toString(LogEvent event) -> std::string_view
{
    const auto *found = std::find_if(names.begin(), names.end(),
                                     [event](const Name &name) { return name.first == event; });
    return found == names.end() ? "Unknown" : found->second;
}

} // namespace flamingograde
