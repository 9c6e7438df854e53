/// Emulated fleet of packet-forwarding hosts without packets: connections and directory updates.
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

/// A fleet in virtual time: hosts, their connections, and the store. Deterministic for a given
/// seed.
/// @remarks Not thread safe. Not movable: its parts refer to each other.
class OverlayFleet
{
public:
    /// @param zones the number of zones, named "zone-1" and so on.
    /// @param hostsPerZone the number of hosts of each zone; the first three of them have links ten
    /// times as wide as the others.
    OverlayFleet(std::size_t zones, std::size_t hostsPerZone, std::uint64_t seed = 1);
    ~OverlayFleet();
    OverlayFleet(const OverlayFleet &) = delete;
    auto operator=(const OverlayFleet &) -> OverlayFleet & = delete;

    /// Lets virtual time pass.
    auto run(Duration duration) -> void;
    /// Adds a host and starts it within 300 ms. @returns its index.
    auto add(const std::string &zone) -> std::size_t;
    /// Cuts the power of every `step`th host, starting with the first, for `duration`, and starts
    /// them again.
    auto cyclePower(std::size_t step, Duration duration) -> void;
    /// Publishes rows and waits for all running hosts to have them. @returns the time that took;
    /// nothing if it takes longer than 20 s.
    auto publishAndWait() -> std::optional<Duration>;
    /// Returns whether all running hosts have the newest rows.
    [[nodiscard]] auto isUpToDate() const -> bool;
    /// Publishes rows with a new version, without waiting.
    auto publish() -> void;

    [[nodiscard]] auto host(std::size_t index) -> emulator::EmulatedHost &
    {
        return *this->hosts[index];
    }
    [[nodiscard]] auto size() const -> std::size_t { return this->hosts.size(); }
    /// Returns the indices of a zone's hosts.
    [[nodiscard]] auto hostsOf(const std::string &zone) const -> std::vector<std::size_t>;
    /// Returns the number of connected members in the dump of a host.
    [[nodiscard]] auto connectionCount(std::size_t index) const -> std::size_t;
    /// Returns the number of members in the dump of a host that are not dead, including itself.
    [[nodiscard]] auto knownHostCount(std::size_t index) const -> std::size_t;
    /// Returns how often all hosts together logged `event` since the last call of `clearLogs`.
    [[nodiscard]] auto logCount(LogEvent event) const -> std::uint64_t;
    /// Returns the largest number of lines logged by one host since the last call of `clearLogs`.
    [[nodiscard]] auto maxLinesPerHost() const -> std::uint64_t;
    auto clearLogs() -> void;

    emulator::VirtualClock clock;
    emulator::Network network { this->clock, 2 };
    emulator::EmulatedStore store { this->clock, this->network, 3 };
    emulator::PeerMesh mesh { this->clock, this->network };

private:
    auto reviewConnections() -> void;

    std::vector<std::unique_ptr<emulator::EmulatedHost>> hosts;
    std::vector<std::string> zoneOf;
    std::map<LogEvent, std::uint64_t> logs;     ///< Lines of all hosts, by event.
    std::map<std::size_t, std::uint64_t> lines; ///< By index of the host.
    std::uint64_t seed;
    std::uint64_t version = 0;
};

} // namespace flamingograde
