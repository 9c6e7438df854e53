/// Choice of the upstream for a new flow.
#pragma once

#include "core/directory/rowentry.h"

#include <cstdint>
#include <optional>

namespace flamingograde {

class Blackboard;

/// A new flow to be placed.
struct NewFlow
{
    std::uint64_t hash = 0; ///< Of its key; the same for each copy of its opening packet.
    std::optional<std::uint32_t> avoid; ///< An upstream that did not answer its opening.
};

/// Returns the directory index of the upstream that takes a new flow of `row`, or nothing if no
/// upstream of its services takes new flows.
///
/// The service is drawn by weight; a service without a usable upstream is skipped. Within a service
/// the policy chooses among the upstreams of this host's zone, by default the one with the fewest
/// requests per slot. If there are none, it chooses among the cold upstreams of this zone within
/// their limits, then among those of other zones. If this zone is crowded, its upstreams that are
/// not cold come after all of these. Silent upstreams are the last resort.
///
/// Precondition: `board.now` is set. Does not allocate.
[[nodiscard]] auto placeFlow(Blackboard &board, const RowEntry &row, const NewFlow &flow)
        -> std::optional<std::uint32_t>;

} // namespace flamingograde
