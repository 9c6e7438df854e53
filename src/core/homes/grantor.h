/// Answers the claims of other hosts.
#pragma once

#include "core/homes/handover.h"

#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <map>

namespace flamingograde {

class Blackboard;
class Claimant;

/// Grants a cell to the host that is its home in this host's view too, and gives it up before.
/// @remarks Not thread safe.
class Grantor
{
public:
    /// Takes a claim of `from`; `claimant` gives up what is granted.
    auto requested(Blackboard &board, Claimant &claimant, HostId from, const ClaimRequest &request)
            -> void;
    /// Grants the cells whose requests are finished, or were waited for long enough.
    auto advance(Blackboard &board) -> void;
    /// Takes the word of `from` that it was never home by a claim.
    auto released(HostId from, const ClaimRelease &release) -> void;
    /// Hands over no cell any more as its home until now: another host may have been home since.
    auto disown() -> void;
    /// Forgets the promise to another host: this host is home again.
    auto regained(CellId cell) -> void { this->handovers.erase(cell); }

private:
    auto handOver(Blackboard &board, HostId from, const ClaimRequest &request, CellId cell)
            -> Handover &;

    std::map<CellId, Handover> handovers;
};

} // namespace flamingograde
