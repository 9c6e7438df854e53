/// Admission of new flows by the state of this host.
#pragma once

#include "core/flowadmission/serviceload.h"

#include <flamingograde/ids.h>
#include <flamingograde/servicedemand.h>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingograde {

class Blackboard;
struct PacketRow;
struct ServicePool;
struct UpstreamEntry;

/// Returns the part of a service's slots that this host may fill. Precondition: none.
[[nodiscard]] auto hostRoomOf(const Blackboard &board, ServiceId service, const ServicePool &pool)
        -> HostRoom;

/// Returns what a new flow of `row` by the caller at `callerIp` asks for. Precondition: none.
[[nodiscard]] auto flowRequestOf(const PacketRow &row, std::uint32_t callerIp) -> FlowRequest;

/// Decides whether a new flow may be placed at a service. Admits all if admission is switched off
/// or the service has no usable slot, which is not a matter of load.
/// Precondition: `pool` is that of `service`. Does not allocate once the service is known.
auto admitFlow(Blackboard &board, const PacketRow &row, ServiceId service, const ServicePool &pool,
               std::uint32_t callerIp) -> Admission;

/// Notes the milliseconds from an opening to its caller's next packet. Precondition: none.
auto noteHandshake(Blackboard &board, const UpstreamEntry &entry, std::uint32_t elapsed) -> void;

/// Notes the milliseconds from a request to the acknowledgement of its answer.
/// @param load requests per slot of the service when the request was sent.
auto noteResponse(Blackboard &board, const UpstreamEntry &entry, std::uint32_t elapsed, double load)
        -> void;

/// Returns the mean response time of a service's upstreams; 0 if none has been measured.
[[nodiscard]] auto usualResponseOf(const Blackboard &board, ServiceId service) -> Duration;

/// Returns the requests per slot of this host's part of a service; 0 if it has no usable slots.
[[nodiscard]] auto hostLoadOf(const Blackboard &board, ServiceId service) -> double;

/// Notes a request to an upstream of a service.
/// @returns the requests per slot of the service, by this host's part or by the reports, whichever
/// is more.
auto beginServiceRequest(Blackboard &board, ServiceId service) -> double;

/// Returns this host's own demand for the services that callers ask it for. Precondition: none.
[[nodiscard]] auto ownDemand(const Blackboard &board) -> std::vector<ServiceDemand>;

/// Updates this host's shares by the reports of others, and logs where overload begins and ends.
/// Precondition: to be called on each `Tick`.
auto updateServiceLoads(Blackboard &board) -> void;

/// Returns the loads of all services that callers ask this host for. Precondition: none.
[[nodiscard]] auto serviceStatsOf(const Blackboard &board) -> std::vector<ServiceStats>;

/// Describes the load of a service and its limit for a row, as text for the log.
[[nodiscard]] auto describeAdmission(const Blackboard &board, const PacketRow &row,
                                     ServiceId service, std::uint32_t callerIp) -> std::string;

/// Returns whether the slots of any service are scarce. Precondition: none.
[[nodiscard]] auto isAnyServicePressed(const Blackboard &board) -> bool;

} // namespace flamingograde
