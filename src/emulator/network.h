/// What lies between hosts, upstreams, callers and the store.
#pragma once

#include "emulator/virtualclock.h"

#include <flamingograde/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace flamingograde::emulator {

/// What a cut link does.
enum class LinkFault : std::uint8_t {
    None,
    Silent, ///< Nothing passes.
    Refuse, ///< Nothing passes; connections are reset and refused.
};

/// One end of a link. The store and callers are in no zone.
struct Place
{
    std::string name; ///< Unique among all places.
    std::string zone; ///< Empty for the store.
};

/// Delays, losses and cuts.
/// @remarks Not thread safe.
class Network
{
public:
    Network(VirtualClock &owner, std::uint64_t seed) : clock(owner), random(seed) {}

    Duration inZone { 200 };       ///< One way within a zone.
    Duration betweenZones { 500 }; ///< One way between zones, and to the store.
    Duration toCaller { 3000 };    ///< One way between a caller and anything.
    double loss = 0;               ///< Share of datagrams lost.

    /// Cuts a zone off from all others and the store; callers still reach it.
    auto cutZone(const std::string &zone, LinkFault fault) -> void;
    /// Cuts one place off from all places but callers.
    auto cutPlace(const std::string &name, LinkFault fault) -> void;
    /// Cuts one place off from hosts; the store and callers still reach it.
    auto cutFromHosts(const std::string &name, LinkFault fault) -> void;
    /// Cuts one place off from the store; hosts and callers still reach it.
    auto cutFromStore(const std::string &name, LinkFault fault) -> void;
    /// Takes every cut of a zone or place away.
    auto heal(const std::string &name) -> void;

    /// Returns what the link between two places does. Precondition: none.
    [[nodiscard]] auto faultBetween(const Place &a, const Place &b) const -> LinkFault;
    /// Returns the time one way. Precondition: none.
    [[nodiscard]] auto delayBetween(const Place &a, const Place &b) const -> Duration;

    /// Delivers a datagram, unless it is lost or cut when it is sent. Precondition: none.
    auto send(const Place &from, const Place &to, VirtualClock::Task arrive) -> void;
    /// Delivers a datagram to or from a caller, unless it is lost. Precondition: none.
    auto sendToCaller(VirtualClock::Task arrive) -> void;

private:
    [[nodiscard]] auto cutOf(const std::string &name) const -> LinkFault;
    [[nodiscard]] auto isLost() -> bool;

    VirtualClock &clock;
    std::mt19937_64 random;
    std::map<std::string, LinkFault> cuts; ///< By zone or place.
};

} // namespace flamingograde::emulator
