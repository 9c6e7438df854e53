/// Hosts that carry packets, without packets: their connections and the spread of the directory.
#pragma once

#include "emulator/emulatedhost.h"
#include "emulator/emulatedstore.h"
#include "emulator/network.h"
#include "emulator/peermesh.h"
#include "emulator/virtualclock.h"

#include <flamingograde/clock.h>
#include <flamingograde/logevent.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingograde {

/// A fleet in virtual time: hosts, their connections, and the store. Deterministic.
/// @remarks Not thread safe. Not movable: its parts refer to each other.
class OverlayFleet
{
public:
    /// @param zones how many, called "zone-1" and so on.
    /// @param hostsPerZone of which the first three have a link ten times as wide.
    OverlayFleet(std::size_t zones, std::size_t hostsPerZone, std::uint64_t seed = 1);
    ~OverlayFleet();
    OverlayFleet(const OverlayFleet &) = delete;
    auto operator=(const OverlayFleet &) -> OverlayFleet & = delete;

    auto run(Duration duration) -> void;
    /// Adds a host and starts it.
    auto add(const std::string &zone) -> std::size_t;
    /// Takes the power of each `step`th host for a time.
    auto losePower(std::size_t step, Duration duration) -> void;
    /// Publishes rows. @returns the time until all running hosts have them; nothing in 20 s.
    auto publishToAll() -> std::optional<Duration>;
    /// Returns whether all running hosts have the newest rows.
    [[nodiscard]] auto isUpToDate() const -> bool;
    auto publish() -> void;

    [[nodiscard]] auto host(std::size_t index) -> emulator::EmulatedHost &
    {
        return *this->hosts[index];
    }
    [[nodiscard]] auto size() const -> std::size_t { return this->hosts.size(); }
    /// Returns the indices of a zone's hosts.
    [[nodiscard]] auto hostsOf(const std::string &zone) const -> std::vector<std::size_t>;
    /// Returns the number of connections of a host.
    [[nodiscard]] auto connectionsOf(std::size_t index) const -> std::size_t;
    /// Returns how many hosts a host knows that are not dead, itself included.
    [[nodiscard]] auto knownBy(std::size_t index) const -> std::size_t;
    [[nodiscard]] auto logCount(LogEvent event) const -> std::uint64_t;
    /// Returns the most lines that one host logged since the last call of `forgetLogs`.
    [[nodiscard]] auto linesOfLoudest() const -> std::uint64_t;
    auto forgetLogs() -> void;

    emulator::VirtualClock clock;
    emulator::Network network { this->clock, 2 };
    emulator::EmulatedStore store { this->clock, this->network, 3 };
    emulator::PeerMesh mesh { this->clock, this->network };

private:
    auto housekeep() -> void;

    std::vector<std::unique_ptr<emulator::EmulatedHost>> hosts;
    std::vector<std::string> zoneOf;
    std::map<LogEvent, std::uint64_t> logs;
    std::map<std::size_t, std::uint64_t> lines;
    std::uint64_t seed;
    std::uint64_t version = 0;
};

} // namespace flamingograde
