/// Makes one host at a time the home of each cell.
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

/// Claims the cells that rendezvous gives to this host, answers the claims of others, and gives up
/// all cells after a pause, while cut off, and when others held this host to be dead.
/// @remarks Not thread safe. Throws nothing.
class TenureController
{
public:
    /// Takes one event. Precondition: `board.now` is the time of it.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    auto fence(Blackboard &board) -> void;
    auto review(Blackboard &board) -> void;
    auto endAll(Blackboard &board, const char *why) -> void;
    [[nodiscard]] auto mayClaim(const Blackboard &board) const -> bool;

    Claimant claimant;
    Grantor grantor;
    std::set<CellId> zoneCells;        ///< The cells of this zone in the table in force.
    Revision cellsOf;                  ///< The table of `zoneCells`.
    std::uint64_t reviewedVersion = 0; ///< The membership at the last review.
    std::uint64_t pauses = 0;          ///< Pauses dealt with.
    std::uint64_t deaths = 0;          ///< False deaths dealt with.
};

} // namespace flamingograde
