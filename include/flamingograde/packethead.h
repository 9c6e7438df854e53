/// The part of a caller's packet that the library decides by.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/cookie.h>

#include <cstdint>

namespace flamingograde {

/// What a packet says of its flow.
struct PacketFlags
{
    bool opens = false;        ///< Asks for a new flow.
    bool acknowledges = false; ///< `PacketHead::acknowledged` counts.
    bool finishes = false;     ///< The caller sends nothing more.
    bool resets = false;       ///< The caller gave the flow up.
    bool returned = false;     ///< Marked as handed back by an upstream: none of a caller's is.
};

/// A decoded packet of a caller. Its data is opaque and stays with the transport.
struct PacketHead
{
    Address service;                ///< Where the caller sent it: decides the row.
    Address caller;                 ///< Where the flow's other end is.
    Cookie cookie;                  ///< The last one that the caller got on this flow.
    std::uint32_t sequence = 0;     ///< Of the first byte of data.
    std::uint32_t acknowledged = 0; ///< The next byte that the caller waits for.
    std::uint32_t copy = 0;         ///< Of an opening packet: how often it was sent before.
    std::uint16_t dataBytes = 0;    ///< Length of its data.
    PacketFlags flags;
};

} // namespace flamingograde
