/// Which upstream a feed belongs to.
#pragma once

#include <flamingograde/ids.h>

#include <cstddef>

namespace flamingograde {

class Blackboard;

/// Returns the upstream for a new flow of `service`, or an invalid id where none can take it.
///
/// Flows are spread over all open upstreams of the service in proportion to their connections,
/// each host filling only its share of an upstream.
/// @param skip how many preferred upstreams to pass over, as they failed.
[[nodiscard]] auto upstreamForFlow(const Blackboard &board, ServiceId service, FlowId flow,
                                   std::size_t skip) -> UpstreamId;

} // namespace flamingograde
