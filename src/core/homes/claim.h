/// A claim of this host to be home of cells.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <cstdint>
#include <map>
#include <set>

namespace flamingograde {

/// What another host said to a claim.
struct Vote
{
    std::map<CellId, MonoTime> granted;   ///< When the granted request was sent.
    std::map<CellId, CellKnowledge> held; ///< Of cells that the voter was home of until then.
};

/// Cells claimed together, and the votes so far.
struct Claim
{
    std::uint64_t id = 0;
    std::set<CellId> cells;       ///< Those still claimed.
    MonoTime nextRequest;         ///< When to ask again.
    std::map<HostId, Vote> votes; ///< By voter.
};

} // namespace flamingograde
