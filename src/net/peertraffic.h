/// Counters of the traffic between hosts.
#pragma once

#include <cstdint>

namespace flamingograde::net {

/// What went over peer connections since the start.
struct PeerTraffic
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t connectionsOpened = 0; ///< With both `Hello`s.
};

} // namespace flamingograde::net
