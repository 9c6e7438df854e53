/// What becomes of a packet.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/cookie.h>
#include <flamingograde/ids.h>

#include <array>
#include <cstdint>
#include <string_view>

namespace flamingograde {

/// What the transport does with a packet.
enum class PacketVerdict : std::uint8_t {
    Forward, ///< Sends it to one or two upstreams.
    Reset,   ///< Tells the caller that its flow is over; the packet is dropped.
    Drop,    ///< Takes no part.
};

/// Why. The order is that of `Stats::packets` and of `toString`.
enum class PacketReason : std::uint8_t {
    Steered,         ///< The cookie names the upstream.
    SteeredOverdue,  ///< The same; the caller sent its request again, as no answer came in time.
    Placed,          ///< A new flow, at the upstream chosen for it.
    PlacedElsewhere, ///< A copy of an opening packet: the upstream chosen before did not answer.
    PlacedOnTrial,   ///< A new flow, also sent to a silent upstream to see whether it is back.
    NoRow,           ///< No row has the address.
    NoUpstream,      ///< No upstream of the row's services takes new flows.
    UpstreamGone,    ///< The flow's upstream has left for good.
    UpstreamSilent,  ///< A request that may be repeated, at an upstream that answers nobody.
    CookieUnknown,   ///< No upstream that this host knows has the cookie.
    CookieOfAnother, ///< The cookie's upstream belongs to a service that the row never had.
    AlreadyOpen,     ///< A late copy of the opening packet of an open flow.
    Malformed,       ///< Flags that do not go together.
};

/// Returns the reason's name in logs and metrics.
/// @remarks Thread safe.
[[nodiscard]] auto toString(PacketReason reason) -> std::string_view;

/// One upstream to which a packet is sent.
struct PacketTarget
{
    InstanceId instance; ///< Sent before the packet: another instance at the address ignores it.
    Address address;
    Cookie cookie; ///< Written into the packet.
};

/// The decision on one packet.
struct PacketDecision
{
    static constexpr std::size_t targetsMax = 2; ///< More are never chosen.

    PacketVerdict verdict = PacketVerdict::Drop;
    PacketReason reason = PacketReason::Malformed;
    std::uint8_t targetCount = 0; ///< Of a `Forward`: 1 or 2.
    std::array<PacketTarget, targetsMax> targets;
};

} // namespace flamingograde
