/// What this host notes of its connection with one member.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/message.h>

#include <cstdint>
#include <optional>

namespace flamingograde {

/// A member's connection, up or not, on hosts that keep few of them.
struct LinkRecord
{
    LinkUse use = LinkUse::None;     ///< What the member keeps the connection for, as it last said.
    MonoTime since;                  ///< When the connection came up.
    MonoTime nextQuestion;           ///< When the member is next asked for a sign of life.
    std::optional<MonoTime> askedAt; ///< When it was asked first since it was last heard.
    std::optional<MonoTime> lostAt;  ///< Since when it may have ended; see `LostMembers`.
    std::uint32_t failedDials = 0;   ///< In a row.
    bool isUntold = false;           ///< What is known of the member is still to be told to others.
};

} // namespace flamingograde
