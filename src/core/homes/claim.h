/// A claim of this host: its request to the other hosts of the zone to become the home of cells.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <cstdint>
#include <map>
#include <set>

namespace flamingograde {

/// Another host's answers to a claim.
struct Vote
{
    /// Send time of the request that was granted last, for each granted cell.
    std::map<CellId, MonoTime> granted;
    /// What the voter knows of the keys, for each cell whose home it was until it granted the cell.
    std::map<CellId, CellKnowledge> held;
};

/// Cells claimed together, and the votes received so far.
struct Claim
{
    std::uint64_t id = 0;
    std::set<CellId> cells; ///< Cells whose tenure has not begun and whose claim was not released.
    MonoTime nextRequest;   ///< Time of the next request to the voters.
    std::map<HostId, Vote> votes; ///< By voter.
};

} // namespace flamingograde
