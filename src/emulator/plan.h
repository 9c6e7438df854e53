/// Description of an emulated day: topology, load and faults.
#pragma once

#include "emulator/emulatedhost.h"
#include "emulator/loadkind.h"

#include <flamingograde/clock.h>
#include <flamingograde/coldpolicy.h>
#include <flamingograde/packetpolicy.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace flamingograde::emulator {

/// The upstreams of one service.
struct ServicePlan
{
    std::string name;
    std::map<std::string, std::size_t> upstreams; ///< Number of upstreams by zone.
    std::uint32_t slots = 2;
    std::size_t queue = 8;
    Duration coldTime { 2000000 }; ///< How long an upstream stays cold after a start.
    double coldPerSecond = 0;      ///< Opening rate limit of a cold upstream; 0: unlimited.
};

/// A row: a kind of load and the services that it is routed to.
struct RowPlan
{
    LoadKind load;
    std::vector<std::pair<std::string, std::uint32_t>> shares; ///< Service and weight.
};

/// An availability zone.
struct ZonePlan
{
    std::string name;
    std::size_t hosts = 2;
    double requestsPerSecond = 100; ///< Request rate of the zone's callers.
};

/// A fault or operator action during the day. Which fields apply depends on the kind; see
/// docs/EMULATOR.md.
struct TroublePlan
{
    std::string kind;
    Duration at { 0 }; ///< Offset from the start of the load.
    Duration duration { 0 };
    Duration gap { 1000000 }; ///< Interval between the steps of a kind that acts in steps.
    std::size_t count = 1;
    double share = 0;    ///< Share of all candidates; replaces `count` if not 0.
    double factor = 5;   ///< Factor applied to the load or the response time.
    std::string zone;    ///< Empty: any.
    std::string service; ///< Empty: any.
    std::string how;
};

/// The complete plan of a day.
struct DayPlan
{
    std::string name;
    std::uint64_t seed = 1;
    Duration lead { 6000000 };    ///< Startup time before the load begins.
    Duration length { 30000000 }; ///< Duration of the load.
    std::vector<ZonePlan> zones;
    std::vector<ServicePlan> services;
    std::vector<RowPlan> rows;
    std::vector<TroublePlan> troubles;
    HostTimes hosts;
    Duration drainBound { 3000000 };    ///< A draining upstream must get no new flow after this.
    Duration evacuateBound { 5000000 }; ///< An evacuated zone must get no new flow after this.
    Duration rowsBound { 3000000 }; ///< Published rows must be in force on all hosts after this.
    PacketPolicy policy = PacketPolicy::LeastBusy;
    bool admitsByLoad = true; ///< Hosts refuse new flows that a service has no room for.
    ColdPolicy coldPolicy = ColdPolicy::Owner;
    double coldExcess = 1.5; ///< A cold upstream fails when its openings within a second exceed
                             ///< this many times its limit,
    double coldSlack = 5;    ///< plus this many.
    double packetLoss = 0;
    Duration staleBy { 0 }; ///< Age of the store's answers to reads that accept an old one.
    std::vector<std::size_t> seeds { 0, 1, 2 }; ///< Numbers of the hosts that all hosts dial first.
};

} // namespace flamingograde::emulator
