/// Decision on a packet.
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
    Forward, ///< Sends the packet to one or two upstreams.
    Reset,   ///< Drops the packet and tells the caller that its flow has ended.
    Drop,    ///< Drops the packet without a reply.
};

/// Reason for a verdict. `Stats::packets` and `toString` have the same order.
enum class PacketReason : std::uint8_t {
    Steered,         ///< The cookie identifies the upstream.
    SteeredOverdue,  ///< The same; the caller resent its request, as no answer came in time.
    Placed,          ///< Opens a new flow at the upstream chosen for it.
    PlacedElsewhere, ///< A copy of an opening packet: the upstream chosen first did not answer.
    PlacedOnTrial,   ///< Opens a new flow; also sent to a silent upstream as a test of it.
    NoRow,           ///< No row has the destination address.
    NoUpstream,      ///< No upstream of the row's services accepts new flows.
    Overloaded,      ///< The row's services have no room for another flow of it.
    UpstreamGone,    ///< The flow's upstream has left the directory.
    UpstreamSilent,  ///< An idempotent request whose upstream does not answer any caller.
    CookieUnknown,   ///< No upstream known to this host has the cookie.
    CookieOfAnother, ///< The cookie's upstream belongs to a service that the row has never had.
    AlreadyOpen,     ///< A delayed copy of the opening packet of an open flow.
    Malformed,       ///< The packet has contradictory flags.
};

/// Returns the reason's name in logs and metrics.
/// @remarks Thread safe.
[[nodiscard]] auto toString(PacketReason reason) -> std::string_view;

/// An upstream to which a packet is sent.
struct PacketTarget
{
    InstanceId instance; ///< Sent with the packet: another instance at the address ignores it.
    Address address;
    Cookie cookie; ///< Written into the packet.
};

/// The decision on one packet.
struct PacketDecision
{
    static constexpr std::size_t targetsMax = 2; ///< Most upstreams to which one packet is sent.

    PacketVerdict verdict = PacketVerdict::Drop;
    PacketReason reason = PacketReason::Malformed;
    std::uint8_t targetCount = 0; ///< For `Forward`: 1 or 2.
    std::array<PacketTarget, targetsMax> targets;
};

} // namespace flamingograde
