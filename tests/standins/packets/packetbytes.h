/// Encoding and decoding of emulated packets. Independent of the production codec, so that a fault
/// there is detected and not cancelled out.
#pragma once

#include "emulator/flowpacket.h"

#include <flamingograde/ids.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace standins {

using flamingograde::emulator::FlowPacket;

/// Returns the bytes of a packet that a caller sends to the service.
[[nodiscard]] auto serializeFromCaller(const FlowPacket &packet) -> std::vector<std::uint8_t>;
/// Returns the bytes of a packet that an upstream sends to the caller, with the service's address
/// as the source.
[[nodiscard]] auto serializeFromUpstream(const FlowPacket &packet) -> std::vector<std::uint8_t>;

/// A packet received by an upstream.
struct UpstreamPacket
{
    flamingograde::InstanceId instance; ///< The intended receiver, from the host's prefix.
    FlowPacket packet;
    bool intact = false; ///< The checksum matches: at most the cookie differs from what was sent.
};

/// Parses a packet that a host sent to an upstream. @returns nothing if `bytes` are too short.
[[nodiscard]] auto parseUpstreamPacket(const std::vector<std::uint8_t> &bytes)
        -> std::optional<UpstreamPacket>;

/// A packet received by a caller.
struct CallerPacket
{
    FlowPacket packet;
    bool fromHost = false; ///< A reset with checksum 0: made by a host, not by an upstream.
    bool intact = false;   ///< The checksum matches, or the packet is a reset made by a host.
};

/// Parses a packet that reached a caller. @returns nothing if `bytes` are too short.
[[nodiscard]] auto parseCallerPacket(const std::vector<std::uint8_t> &bytes)
        -> std::optional<CallerPacket>;

} // namespace standins
