/// The bytes of emulated packets, written apart from the product's codec so that they judge it.
#pragma once

#include "emulator/flowpacket.h"

#include <flamingograde/ids.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace standins {

using flamingograde::emulator::FlowPacket;

/// Returns a caller's packet, from the caller to the service.
[[nodiscard]] auto callerBytes(const FlowPacket &packet) -> std::vector<std::uint8_t>;
/// Returns an upstream's packet, from the service to the caller.
[[nodiscard]] auto upstreamBytes(const FlowPacket &packet) -> std::vector<std::uint8_t>;

/// A packet that reached an upstream.
struct IntendedPacket
{
    flamingograde::InstanceId instance; ///< Named before the packet.
    FlowPacket packet;
    bool intact = false; ///< Only the cookie differs from what the caller wrote.
};

/// Reads what a host sent to an upstream; nothing for bytes that are no packet.
[[nodiscard]] auto readIntended(const std::vector<std::uint8_t> &bytes)
        -> std::optional<IntendedPacket>;

/// A packet that reached a caller.
struct ReturnedPacket
{
    FlowPacket packet;
    bool fromHost = false; ///< A reset without a sum: a host's own.
    bool intact = false;   ///< As its sender wrote it.
};

/// Reads what reached a caller; nothing for bytes that are no packet.
[[nodiscard]] auto readReturned(const std::vector<std::uint8_t> &bytes)
        -> std::optional<ReturnedPacket>;

} // namespace standins
