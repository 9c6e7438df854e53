/// Emulated network between hosts, upstreams, callers and the store.
#pragma once

#include "emulator/virtualclock.h"

#include <flamingograde/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace flamingograde::emulator {

/// How a cut link fails.
enum class LinkFault : std::uint8_t {
    None,
    Silent, ///< Traffic is dropped without notice.
    Refuse, ///< Traffic is dropped; connections are reset and refused.
};

/// An endpoint of a link. The store and callers belong to no zone.
struct Place
{
    std::string name; ///< Unique among all places.
    std::string zone; ///< Empty for the store.
};

/// Models link delays, datagram loss and network partitions.
/// @remarks Not thread safe.
class Network
{
public:
    Network(VirtualClock &virtualClock, std::uint64_t seed) : clock(virtualClock), random(seed) {}

    Duration inZone { 200 };       ///< One-way delay within a zone.
    Duration betweenZones { 500 }; ///< One-way delay between zones and to the store.
    Duration toCaller { 3000 };    ///< One-way delay between a caller and any other endpoint.
    double loss = 0;               ///< Share of datagrams lost.

    /// Cuts a zone off from all others and the store; callers still reach it.
    auto cutZone(const std::string &zone, LinkFault fault) -> void;
    /// Cuts one place off from all places but callers.
    auto cutPlace(const std::string &name, LinkFault fault) -> void;
    /// Cuts one place off from hosts; the store and callers still reach it.
    auto cutFromHosts(const std::string &name, LinkFault fault) -> void;
    /// Cuts one place off from the store; hosts and callers still reach it.
    auto cutFromStore(const std::string &name, LinkFault fault) -> void;
    /// Removes all cuts of a zone or place.
    auto heal(const std::string &name) -> void;

    /// Returns the current fault of the link between two places. Precondition: none.
    [[nodiscard]] auto faultBetween(const Place &a, const Place &b) const -> LinkFault;
    /// Returns the one-way delay between two places. Precondition: none.
    [[nodiscard]] auto delayBetween(const Place &a, const Place &b) const -> Duration;

    /// Delivers a datagram after the link delay unless it is lost or the link is cut at the time of
    /// sending. Precondition: none.
    auto send(const Place &from, const Place &to, VirtualClock::Task arrive) -> void;
    /// Delivers a datagram to or from a caller after the link delay unless it is lost.
    /// Precondition: none.
    auto sendToCaller(VirtualClock::Task arrive) -> void;

private:
    [[nodiscard]] auto cutOf(const std::string &name) const -> LinkFault;
    [[nodiscard]] auto isLost() -> bool;

    VirtualClock &clock;
    std::mt19937_64 random;
    std::map<std::string, LinkFault> cuts; ///< By zone or place.
};

} // namespace flamingograde::emulator
