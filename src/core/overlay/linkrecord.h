/// Connection state of one member.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/message.h>

#include <cstdint>
#include <optional>

namespace flamingograde {

/// State of the connection with a member, whether it is up or not. Used by hosts in an overlay with
/// few connections per host.
struct LinkRecord
{
    std::uint64_t clockMs = 0;   ///< The member's clock, from its last message; 0: none.
    MonoTime clockReceived;      ///< When that message arrived.
    LinkUse use = LinkUse::None; ///< What the member uses the connection for, by its last message.
    MonoTime since;              ///< When the connection was established.
    MonoTime nextPing;           ///< When the member is pinged next.
    std::optional<MonoTime> pingedAt; ///< First ping since the member's last message; empty: none.
    std::optional<MonoTime> suspectedSince; ///< Since when it may be dead; see `DeadHostDetector`.
    std::uint32_t failedDials = 0;          ///< Failed dials in a row.
    bool hasUnsentChange = false; ///< A change of the member has not been sent to other hosts yet.
};

} // namespace flamingograde
