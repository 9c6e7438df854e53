/// Claims cells of the zone for this host.
#pragma once

#include "core/homes/claim.h"

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace flamingograde {

class Blackboard;

/// Asks all other hosts of the zone for cells, and begins to be home of a cell once all of them
/// granted it lately.
///
/// A grant counts for `config::pauseThreshold` from when it was asked for: a host that is held to
/// be dead meanwhile is so for longer, so that no old grant is left when another takes its cells.
/// @remarks Not thread safe.
class Claimant
{
public:
    /// Sets the cells that this host is to be home of. Claims those that are new.
    auto want(Blackboard &board, const std::set<CellId> &cells) -> void;
    /// Asks for what is due and begins what is granted.
    auto advance(Blackboard &board) -> void;
    /// Takes a vote.
    auto granted(Blackboard &board, HostId from, const ClaimGrant &grant) -> void;
    /// Gives up claiming `cell`, if it is claimed.
    auto drop(Blackboard &board, CellId cell) -> void;

private:
    /// A request that votes may answer.
    struct Round
    {
        std::uint64_t claim = 0;
        MonoTime sentAt;
    };

    /// Returns a number that no life of this host used before.
    [[nodiscard]] auto nextNumber(const Blackboard &board) -> std::uint64_t;
    auto request(Blackboard &board, Claim &claim) -> void;
    auto begin(Blackboard &board, Claim &claim) -> void;
    /// Gives up claiming `cells` and tells the voters.
    auto release(Blackboard &board, Claim &claim, const std::vector<CellId> &cells) -> void;
    [[nodiscard]] static auto isGranted(const Blackboard &board, const Claim &claim, CellId cell)
            -> bool;

    std::map<std::uint64_t, Claim> claims; ///< By id.
    std::map<std::uint64_t, Round> rounds; ///< Those young enough to count.
    std::uint64_t lastNumber = 0;          ///< Of claims and rounds; at least the wall time in
                                           ///< microseconds, so that a restart repeats none.
};

} // namespace flamingograde
