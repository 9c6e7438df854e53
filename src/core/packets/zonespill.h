/// When new flows leave the own availability zone.
#pragma once

namespace flamingograde {

class Blackboard;
struct PacketRow;
struct ServicePool;

/// Returns whether so many requests wait for the upstreams of the own zone that a new flow of `row`
/// is better off in another zone.
///
/// A host sees its own flows only. As the fabric spreads flows over all hosts of the zone alike,
/// the zone's requests are those of this host times the hosts.
///
/// It answers zones that lost most of their upstreams, or got the callers of others: there, queues
/// filled and requests were shed while other zones had two slots of three free. In an emulated
/// zone with one upstream of three left and twice the callers (examples/days/short-zone.toml) 516
/// of 12,700 requests were refused without it.
/// Precondition: the pool is of one of the row's services.
[[nodiscard]] auto isZoneCrowded(const Blackboard &board, const PacketRow &row,
                                 const ServicePool &pool) -> bool;

} // namespace flamingograde
