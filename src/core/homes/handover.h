/// A cell that this host gives up.
#pragma once

#include "core/homes/knownfrom.h"

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstdint>

namespace flamingograde {

/// A promise to another host: at once not to begin anything in the cell, and to say so once what
/// runs is finished.
struct Handover
{
    HostId to;               ///< Who claims the cell; invalid where it gave that up.
    std::uint64_t claim = 0; ///< Its claim.
    std::uint64_t round = 0; ///< Its newest request.
    MonoTime since;          ///< When the promise began.
    bool held = false;       ///< This host was home until then, and nobody since.
    KnownFrom known;         ///< What it knew of the keys as the home.
    bool granted = false;    ///< It was said.
};

} // namespace flamingograde
