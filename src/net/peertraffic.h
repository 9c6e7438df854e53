/// Traffic counters of the connections between hosts.
#pragma once

#include <cstdint>

namespace flamingograde::net {

/// Traffic on peer connections since the process started.
struct PeerTraffic
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t connectionsOpened = 0; ///< Connections on which both hosts sent `Hello`.
};

} // namespace flamingograde::net
