/// What an emulated day consists of.
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

/// Upstreams of one service.
struct ServicePlan
{
    std::string name;
    std::map<std::string, std::size_t> upstreams; ///< By zone.
    std::uint32_t slots = 2;
    std::size_t queue = 8;
    Duration coldTime { 2000000 }; ///< After a start.
    double coldPerSecond = 0;      ///< Request rate limit of a cold upstream; 0: none.
};

/// A row: a kind of load and the services that carry it.
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
    double requestsPerSecond = 100; ///< Of its callers.
};

/// Something that happens. Which fields count depends on the kind; docs/EMULATOR.md has the list.
struct TroublePlan
{
    std::string kind;
    Duration at { 0 }; ///< From the start of the load.
    Duration lasts { 0 };
    Duration gap { 1000000 }; ///< Between steps of one that comes in steps.
    std::size_t count = 1;
    double share = 0;    ///< In place of `count` where it is not 0.
    double factor = 5;   ///< How strong.
    std::string zone;    ///< Empty: any.
    std::string service; ///< Empty: any.
    std::string how;
};

/// A day.
struct DayPlan
{
    std::string name;
    std::uint64_t seed = 1;
    Duration lead { 6000000 };    ///< Before the load begins.
    Duration length { 30000000 }; ///< Of the load.
    std::vector<ZonePlan> zones;
    std::vector<ServicePlan> services;
    std::vector<RowPlan> rows;
    std::vector<TroublePlan> troubles;
    HostTimes hosts;
    Duration drainBound { 3000000 };    ///< A leaving upstream gets no new flow after this.
    Duration evacuateBound { 5000000 }; ///< An evacuated zone gets no new flow after this.
    PacketPolicy policy = PacketPolicy::LeastBusy;
    ColdPolicy coldPolicy = ColdPolicy::Owner;
    double coldExcess = 1.5; ///< A cold upstream fails when its openings within a second exceed
                             ///< this many times its limit,
    double coldSlack = 5;    ///< plus this many.
    double packetLoss = 0;
};

} // namespace flamingograde::emulator
