/// Answers claims that other hosts make to cells.
#pragma once

#include "core/homes/handover.h"

#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <map>

namespace flamingograde {

class Blackboard;
class Claimant;

/// Grants a cell to the claiming host if the membership view of this host, too, makes the claiming
/// host the home of the cell. If this host holds the cell, it ends its own tenure first.
/// @remarks Not thread safe.
class Grantor
{
public:
    /// Answers a claim of `from`. Makes `claimant` release its own claims to the cells concerned.
    auto handleRequest(Blackboard &board, Claimant &claimant, HostId from,
                       const ClaimRequest &request) -> void;
    /// Grants the claimed cells whose requests have finished on this host, or for which
    /// `config::handoverTimeout` has elapsed.
    auto advance(Blackboard &board) -> void;
    /// Handles the message of `from` that it released its claim before it became the home.
    auto handleRelease(HostId from, const ClaimRelease &release) -> void;
    /// Stops regarding this host as the last home of any cell, so that it hands over no keys:
    /// another host may have been the home since.
    auto clearLastHome() -> void;
    /// Discards the handover of `cell` to another host, because this host is its home again.
    auto discard(CellId cell) -> void { this->handovers.erase(cell); }

private:
    auto startHandover(Blackboard &board, HostId from, const ClaimRequest &request, CellId cell)
            -> Handover &;

    std::map<CellId, Handover> handovers;
};

} // namespace flamingograde
