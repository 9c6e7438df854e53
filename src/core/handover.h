/// A cell that this host gives up.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstdint>

namespace flamingograde {

/// A promise to another host: at once not to begin anything in the cell, and to say so once what
/// runs is finished.
struct Handover
{
    HostId to;               ///< Who claims the cell.
    std::uint64_t claim = 0; ///< Its claim.
    std::uint64_t round = 0; ///< Its newest request.
    MonoTime since;          ///< When the promise began.
    bool held = false;       ///< This host was home until then.
    bool granted = false;    ///< It was said.
};

} // namespace flamingograde
