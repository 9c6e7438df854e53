/// Counters of the UDP socket for callers' packets.
#pragma once

#include <cstdint>

namespace flamingograde::net {

/// Datagrams received and sent since the process started.
struct PacketTraffic
{
    std::uint64_t received = 0;
    std::uint64_t malformed = 0; ///< Invalid packets: too short, too long or truncated.
    std::uint64_t sent = 0;      ///< To upstreams and, as resets, to callers.
    std::uint64_t unsent = 0;    ///< Rejected by the kernel on sending.
    std::uint64_t batches = 0;   ///< Read calls that returned datagrams.
};

} // namespace flamingograde::net
