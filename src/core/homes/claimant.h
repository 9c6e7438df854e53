/// Claims cells of this zone for this host.
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

/// Requests cells from all other hosts of the zone that are not known to be dead, and makes this
/// host the home of a cell once each of them has granted it recently.
///
/// A grant is valid for `config::pauseThreshold` after its request was sent. A host that others
/// declare dead in that time stays dead for longer than that, so none of its grants is still valid
/// when another host takes its cells.
/// @remarks Not thread safe.
class Claimant
{
public:
    /// Sets the cells whose home this host should be. Claims those that it neither holds nor claims
    /// yet, and releases the claims to all others.
    auto setWanted(Blackboard &board, const std::set<CellId> &cells) -> void;
    /// Begins the tenure of granted cells, and sends the requests that are due.
    auto advance(Blackboard &board) -> void;
    /// Records the answer of `from`. Ignores answers to requests older than
    /// `config::pauseThreshold`.
    auto handleGrant(Blackboard &board, HostId from, const ClaimGrant &grant) -> void;
    /// Releases the claim to `cell`, if there is one.
    auto drop(Blackboard &board, CellId cell) -> void;

private:
    /// A request that was sent to the voters and that they may still answer.
    struct Round
    {
        std::uint64_t claim = 0;
        MonoTime sentAt;
    };

    /// Returns a number that this host has not used before, not even before a restart.
    [[nodiscard]] auto nextNumber(const Blackboard &board) -> std::uint64_t;
    auto sendRequest(Blackboard &board, Claim &claim) -> void;
    auto beginGranted(Blackboard &board, Claim &claim) -> void;
    /// Releases the claim to `cells` and notifies the voters.
    auto release(Blackboard &board, Claim &claim, const std::vector<CellId> &cells) -> void;
    [[nodiscard]] static auto isGranted(const Blackboard &board, const Claim &claim, CellId cell)
            -> bool;

    std::map<std::uint64_t, Claim> claims; ///< By id.
    std::map<std::uint64_t, Round> rounds; ///< By number; only those not yet expired.
    std::uint64_t lastNumber = 0; ///< Last id given to a claim or round. At least the wall time in
                                  ///< microseconds, so that a restart repeats no number.
};

} // namespace flamingograde
