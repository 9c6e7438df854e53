/// Counters of callers' packets at the socket.
#pragma once

#include <cstdint>

namespace flamingograde::net {

/// What came and went since the start.
struct PacketTraffic
{
    std::uint64_t received = 0;
    std::uint64_t malformed = 0; ///< Datagrams that are no packet: too short, too long, cut.
    std::uint64_t sent = 0;      ///< To upstreams and, as resets, to callers.
    std::uint64_t unsent = 0;    ///< The system did not take them.
    std::uint64_t batches = 0;   ///< Reads that gave packets.
};

} // namespace flamingograde::net
