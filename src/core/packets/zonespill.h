/// Decision to send new flows to other availability zones.
#pragma once

namespace flamingograde {

class Blackboard;
struct PacketRow;
struct ServicePool;

/// Returns whether so many requests wait for the upstreams of this host's zone that a new flow of
/// `row` is served sooner in another zone.
///
/// A host sees only its own flows. The network spreads flows evenly over all hosts of the zone, so
/// the requests of the zone are estimated as those of this host times the number of hosts.
///
/// When all new flows stayed in the own zone, a zone that lost most of its upstreams, or got the
/// callers of other zones, filled its queues and shed requests while other zones had two of three
/// slots free. In an emulated zone with one of three upstreams left and twice the callers
/// (examples/days/short-zone.toml), 516 of 12,700 requests were refused.
///
/// Precondition: the pool is of one of the row's services.
[[nodiscard]] auto isZoneCrowded(const Blackboard &board, const PacketRow &row,
                                 const ServicePool &pool) -> bool;

} // namespace flamingograde
