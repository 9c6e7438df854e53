/// Network fabric that distributes callers' packets over hosts.
#pragma once

#include "emulator/flowpacket.h"
#include "emulator/network.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingograde::emulator {

class EmulatedHost;
class VirtualClock;

/// Health-checks each host twice a second and hashes each flow over the hosts of the caller's zone
/// that are in rotation: over all hosts of the zone if fewer than half are in rotation, and over
/// those of other zones if none is.
/// @remarks Not thread safe.
class Fabric
{
public:
    explicit Fabric(VirtualClock &virtualClock) : clock(virtualClock) {}

    /// Adds a host and starts its health checks. Precondition: the host outlives this object.
    auto add(EmulatedHost &host) -> void;
    /// Sends a caller's packet from `zone` to a host.
    auto send(const std::string &zone, const FlowPacket &packet) -> void;

    Duration toHost { 3000 }; ///< One-way delay from a caller to a host.
    std::uint64_t unsent = 0; ///< Packets dropped because no zone had a host to send them to.

private:
    struct HostEntry
    {
        EmulatedHost *host = nullptr;
        bool inRotation = false;
        std::uint32_t failedChecks = 0;
    };

    auto check(std::size_t index) -> void;
    [[nodiscard]] auto choose(const std::string &zone, const FlowPacket &packet) -> EmulatedHost *;
    [[nodiscard]] auto candidates(const std::string &zone) -> std::vector<EmulatedHost *>;

    VirtualClock &clock;
    std::vector<HostEntry> entries;
    std::map<std::string, std::vector<std::size_t>> byZone;
};

} // namespace flamingograde::emulator
