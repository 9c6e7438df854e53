/// State of a cell that this host hands over to another host.
#pragma once

#include "core/homes/knownfrom.h"

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstdint>

namespace flamingograde {

/// The handover of a cell to a claiming host. From its start this host dispatches nothing in the
/// cell. It sends the grant once the running requests have finished or `config::handoverTimeout`
/// has elapsed.
struct Handover
{
    HostId to;                ///< The claiming host; invalid if it released its claim.
    std::uint64_t claim = 0;  ///< Id of its claim.
    std::uint64_t round = 0;  ///< Number of its latest request.
    MonoTime since;           ///< When the handover began.
    bool wasLastHome = false; ///< Whether this host was home until the handover, and none since.
    KnownFrom keysKnownFrom;  ///< From when this host, as the home, knew all keys.
    bool granted = false;     ///< Whether the grant was sent.
};

} // namespace flamingograde
