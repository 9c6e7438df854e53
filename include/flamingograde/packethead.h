/// The part of a caller's packet on which the library bases its decision.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/clock.h>
#include <flamingograde/cookie.h>

#include <cstdint>

namespace flamingograde {

/// Flags in a packet's header.
struct PacketFlags
{
    bool opens = false;        ///< Opens a new flow.
    bool acknowledges = false; ///< `PacketHead::acknowledged` is valid.
    bool finishes = false;     ///< The caller sends no more data.
    bool resets = false;       ///< The caller aborts the flow.
    bool returned = false;     ///< Returned by an upstream; never set in packets of callers.
};

/// The decoded header of a caller's packet. The data is opaque and stays with the transport.
struct PacketHead
{
    Address service;                ///< Destination address; determines the row.
    Address caller;                 ///< Source address of the packet.
    Cookie cookie;                  ///< The last cookie that the caller received on this flow.
    std::uint32_t sequence = 0;     ///< Sequence number of the first byte of data.
    std::uint32_t acknowledged = 0; ///< Sequence number of the next byte that the caller expects.
    std::uint32_t retransmissions = 0; ///< For an opening packet: how often it was sent before.
    std::uint16_t dataBytes = 0;       ///< Length of its data.
    Duration waited { 0 };             ///< It may have waited this long to be read.
    PacketFlags flags;
};

} // namespace flamingograde
