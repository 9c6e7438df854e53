/// Packet format between emulated callers, hosts and upstreams.
#pragma once

#include <flamingograde/packethead.h>

#include <cstdint>

namespace flamingograde::emulator {

/// A packet header with a description of the data in place of the data itself.
struct FlowPacket
{
    PacketHead head;              ///< Packets from upstreams keep `service` and `caller` unswapped.
    std::uint64_t request = 0;    ///< Request that the data belongs to; 0: no data.
    std::uint32_t bytesTotal = 0; ///< Length of the whole request or answer.
    bool shed = false;            ///< Answers only: the request was not run.
    std::uint64_t work = 0;       ///< Requests only: service time in microseconds.
    std::uint32_t answerBytes = 0; ///< Requests only: length of the answer.
};

} // namespace flamingograde::emulator
