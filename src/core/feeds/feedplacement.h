/// Selection of the upstream for a new feed.
#pragma once

#include <flamingograde/ids.h>

#include <cstddef>

namespace flamingograde {

class Blackboard;

/// Returns the upstream for a new flow of `service`, or an invalid id if no upstream can accept it.
///
/// Flows are distributed over all open upstreams of the service in proportion to their connection
/// limits. Each host uses at most its share of an upstream's connections.
/// @param skipCount number of upstreams to skip from the front of the preference order, because
/// opening the flow there failed.
[[nodiscard]] auto upstreamForFlow(const Blackboard &board, ServiceId service, FlowId flow,
                                   std::size_t skipCount) -> UpstreamId;

} // namespace flamingograde
