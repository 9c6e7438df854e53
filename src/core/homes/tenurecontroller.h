/// Ensures that each cell has at most one home at a time.
#pragma once

#include "core/homes/claimant.h"
#include "core/homes/grantor.h"

#include <flamingograde/event.h>
#include <flamingograde/ids.h>
#include <flamingograde/revision.h>

#include <cstdint>
#include <set>

namespace flamingograde {

class Blackboard;

/// Claims the cells that rendezvous hashing assigns to this host and answers the claims of other
/// hosts. Ends all tenures of this host after a pause of the process, while no other host is
/// reachable, and when other hosts have declared it dead.
/// @remarks Not thread safe. Throws nothing.
class TenureController
{
public:
    /// Handles one event. Precondition: `board.now` is the time of the event.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    /// Ends all tenures if another host may have become the home of the cells of this host.
    auto endUnsafeTenures(Blackboard &board) -> void;
    /// Updates the claims, tenures and handovers to the table and the membership.
    auto review(Blackboard &board) -> void;
    auto endAllTenures(Blackboard &board, const char *why) -> void;
    [[nodiscard]] auto mayClaim(const Blackboard &board) const -> bool;

    Claimant claimant;
    Grantor grantor;
    std::set<CellId> zoneCells;        ///< The cells of this zone in the table in force.
    Revision zoneCellsRevision;        ///< Revision of the table behind `zoneCells`.
    std::uint64_t reviewedVersion = 0; ///< Version of the membership at the last review.
    std::uint64_t handledPauses = 0;   ///< Number of pauses of the process handled.
    std::uint64_t handledDeaths = 0;   ///< Number of false reports of this host's death handled.
};

} // namespace flamingograde
