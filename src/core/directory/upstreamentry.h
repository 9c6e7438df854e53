/// One upstream in a host's directory.
#pragma once

#include "core/directory/upstreamevidence.h"
#include "core/packets/coldallowance.h"

#include <flamingograde/clock.h>
#include <flamingograde/cookie.h>
#include <flamingograde/directoryupdate.h>

#include <cstdint>

namespace flamingograde {

/// Whether the platform lists an upstream.
enum class Presence : std::uint8_t {
    Listed,
    Missing, ///< Removed, and not believed yet: it may register again.
    Removed, ///< Gone for good; remembered so that its open flows can be told.
};

/// A record with what this host holds of it.
struct UpstreamEntry
{
    DirectoryRecord record;
    Revision newest; ///< Of its last change or removal.
    Presence presence = Presence::Listed;
    MonoTime since;         ///< When the presence last changed.
    MonoTime settles;       ///< Of a missing one: when it counts as removed.
    MonoTime warmAt;        ///< Slow after its start until this.
    Cookie cookie;          ///< Of its instance.
    bool ownsCookie = true; ///< Whether the cookie stands for this one.
    bool isDoubted = false; ///< Missing only since it showed life when its removal came: its open
                            ///< flows go on while it does, new ones go elsewhere.
    bool isFaulty = false;  ///< What the platform has of it now cannot be used: open flows go on.
    std::uint16_t life = 0; ///< Counts the starts of its instance that this host has seen.
    bool isNear = false;    ///< In the own availability zone.
    bool isPooled = false;  ///< Among `ServicePool::near` of its service.
    bool isColdLimited = false; ///< Cold, and its service has a cold limit.
    ColdAllowance allowance;    ///< This host's share of the cold limit, if one applies.
    UpstreamEvidence evidence;

    /// Returns whether the cold limit, if one applies, leaves room for a request of this host.
    [[nodiscard]] auto hasColdRoom() const -> bool
    {
        return !this->isColdLimited || this->allowance.hasToken();
    }
};

} // namespace flamingograde
