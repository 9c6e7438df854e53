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
    Missing, ///< Removed by the platform, but not confirmed: it may register again.
    Removed, ///< Removal confirmed; kept as a tombstone so that its open flows can be reset.
};

/// A directory record with the state that this host keeps for it.
struct UpstreamEntry
{
    DirectoryRecord record;
    Revision newest; ///< Revision of the last change or removal. Number 0: known only from an
                     ///< earlier epoch, so that everything of the present one is newer.
    Presence presence = Presence::Listed;
    MonoTime since;                  ///< When the presence last changed.
    MonoTime removalDue;             ///< When a missing upstream is to be removed.
    MonoTime warmAt;                 ///< Until when it is cold, that is, slow after its start.
    Cookie cookie;                   ///< Derived from its instance.
    bool ownsCookie = true;          ///< Whether the cookie maps to this entry.
    bool isRemovalContested = false; ///< Removed by the platform, but shows signs of life: open
                                     ///< flows continue while it does, new flows go elsewhere.
    bool isFaulty = false;           ///< The platform's entry is unusable; open flows continue.
    std::uint16_t restarts = 0; ///< Number of restarts of its instance that this host has seen.
    bool isNear = false;        ///< In this host's availability zone.
    bool isPooled = false;      ///< Listed in `near` or `far` of its service's pool.
    bool isColdLimited = false; ///< Cold, and its service has a cold limit.
    ColdAllowance allowance;    ///< This host's share of the cold limit, if any.
    UpstreamEvidence evidence;

    /// Returns whether the cold limit, if one applies, allows this host another request.
    [[nodiscard]] auto coldLimitAllowsFlow() const -> bool
    {
        return !this->isColdLimited || this->allowance.hasToken();
    }
};

} // namespace flamingograde
