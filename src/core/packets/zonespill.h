/// Decision to send new flows to other availability zones.
#pragma once

#include <flamingograde/ids.h>

namespace flamingograde {

class Blackboard;
struct PacketRow;
struct ServicePool;

/// Demand for a service in the own zone and in the whole fleet, in slots that it keeps busy.
struct SlotDemand
{
    double zone = 0;
    double fleet = 0;
};

/// Returns the part of a zone's new flows that other zones can serve sooner, from 0 to 1: that
/// above what keeps `config::zoneSlotsBusy` of the zone's slots busy or, if all zones have more
/// than that, above what is the same part of the slots of every zone. Zones that are equally full
/// send each other nothing. Precondition: none. Thread safe.
[[nodiscard]] auto spillPart(const SlotDemand &demand, double zoneSlots, double allSlots) -> double;

/// Returns whether a new flow of `row` goes to another zone, as the upstreams of this host's zone
/// have too few free slots.
///
/// Decided by the demand that hosts report, and drawn at random by `spillPart`. A host that has no
/// reports takes the requests of its zone to be its own times the number of hosts, and sends all
/// flows away above a limit of requests per slot.
///
/// When all new flows stayed in the own zone, a zone that lost most of its upstreams, or got the
/// callers of other zones, filled its queues and shed requests while other zones had two of three
/// slots free. In an emulated zone with one of three upstreams left and twice the callers
/// (examples/days/short-zone.toml), 516 of 12,700 requests were refused.
///
/// Precondition: the pool is of one of the row's services.
[[nodiscard]] auto leavesZone(Blackboard &board, const PacketRow &row, ServiceId service,
                              const ServicePool &pool) -> bool;

} // namespace flamingograde
