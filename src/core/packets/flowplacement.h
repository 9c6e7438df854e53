/// Choice of the upstream for a new flow.
#pragma once

#include "core/directory/rowentry.h"

#include <flamingograde/clock.h>

#include <cstdint>
#include <optional>

namespace flamingograde {

class Blackboard;

/// A new flow to be placed.
struct NewFlow
{
    std::uint64_t hash = 0; ///< Of its key; the same for each copy of its opening packet.
    std::optional<std::uint32_t> avoid; ///< An upstream that did not answer its opening.
    bool mayBeOpen = false;             ///< Through another host; it must not be refused.
    std::uint32_t callerIp = 0;
    Duration usualResponse { 0 }; ///< Mean response time of the service's upstreams; 0: unknown.
};

/// Where a new flow goes.
struct FlowPlacement
{
    std::optional<std::uint32_t> upstream; ///< Directory index; nothing if there is none.
    bool isOverloaded = false;             ///< Refused, as the services have no room for it.
};

/// Returns the upstream that takes a new flow of `row`, or nothing if no upstream of its services
/// takes new flows or the load does not allow it.
///
/// The service is drawn by weight; a service without a usable upstream, or without room for the
/// flow, is skipped. A flow that may be open already is not refused for load. Within a service
/// the policy chooses among the upstreams of this host's zone, by default the one with the fewest
/// requests per slot. If there are none, it chooses among the cold upstreams of this zone within
/// their limits, then among those of other zones. If this zone is crowded, its upstreams that are
/// not cold come after all of these. Silent upstreams are the last resort.
///
/// Precondition: `board.now` is set. Does not allocate.
[[nodiscard]] auto placeFlow(Blackboard &board, const RowEntry &row, const NewFlow &flow)
        -> FlowPlacement;

} // namespace flamingograde
