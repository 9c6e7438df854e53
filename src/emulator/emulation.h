/// Emulates one day with its hosts, upstreams, callers, fabric and store.
#pragma once

#include "emulator/callerpool.h"
#include "emulator/dayresult.h"
#include "emulator/emulatedhost.h"
#include "emulator/emulatedstore.h"
#include "emulator/emulatedupstream.h"
#include "emulator/fabric.h"
#include "emulator/judge.h"
#include "emulator/network.h"
#include "emulator/peermesh.h"
#include "emulator/plan.h"
#include "emulator/virtualclock.h"

#include <flamingograde/packetrows.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace flamingograde::emulator {

/// An upstream's process with its registration and the state used to check invariants.
struct UpstreamEntry
{
    std::unique_ptr<EmulatedUpstream> process;
    Place place;
    Upstream record; ///< The record that the upstream writes to the store.
    bool sendsHeartbeats = true;
    bool isHeartbeatScheduled = false;
    bool stored = false;                    ///< Whether the store accepted the latest record.
    std::optional<MonoTime> drainStoredAt;  ///< When the store accepted the draining state.
    std::optional<MonoTime> disturbedAt;    ///< End of the latest crash or cut; may lie ahead.
    std::deque<MonoTime> coldOpenings;      ///< Openings within the last second while it was cold.
    const EmulatedHost *lastHost = nullptr; ///< The host that sent the latest packet.
};

/// The rows that a host's process was last seen with.
struct RowsOfHost
{
    std::uint64_t process = 0; ///< Number of starts of the host's process.
    std::uint64_t version = 0;
};

/// Runs a day deterministically: the same plan gives the same result.
/// @remarks Not thread safe. Not movable: its parts refer to each other.
class Emulation
{
public:
    /// Precondition: the names of services and rows in the plan are unique.
    explicit Emulation(DayPlan day);
    ~Emulation();
    Emulation(const Emulation &) = delete;
    auto operator=(const Emulation &) -> Emulation & = delete;

    /// Starts hosts and upstreams and runs for `DayPlan::lead`. Precondition: called once.
    auto begin() -> void;
    /// Starts the load and the result windows. Precondition: after `begin`.
    auto beginLoad() -> void;
    /// Runs the emulation for `duration`. Precondition: after `begin`.
    auto run(Duration duration) -> void { this->time.run(duration); }
    /// Runs the whole day with its troubles. Precondition: called once; `begin`, `beginLoad` and
    /// `run` are not called.
    auto play() -> DayResult;
    /// Returns the results so far. Precondition: none.
    [[nodiscard]] auto result() -> DayResult;

    /// Adds an upstream, which registers within 300 ms. @returns its index.
    auto addUpstream(const std::string &service, const std::string &zone, Address address = {})
            -> std::size_t;
    /// Drains an upstream and stops it after `drainBound` plus `extra`.
    auto drainUpstream(std::size_t index, Duration extra = std::chrono::seconds(1)) -> void;
    /// Fails an upstream immediately.
    auto failUpstream(std::size_t index, UpstreamLife kind) -> void;
    /// Fails an upstream immediately and restarts it with the same id after `after`.
    auto restartUpstream(std::size_t index, UpstreamLife kind, Duration after) -> void;
    /// Marks an upstream as disturbed for `duration`: resets of its flows by hosts are not counted
    /// as violations during that time and for `disturbanceWindow` after it.
    auto disturbUpstream(std::size_t index, Duration duration) -> void;
    /// Evacuates a zone; retries until the store accepts the order.
    auto evacuateZone(const std::string &zone) -> void;
    /// Ends a zone's evacuation; retries until the store accepts the order.
    /// @param cold whether the zone's upstreams are cold afterwards.
    auto endEvacuation(const std::string &zone, bool cold) -> void;
    /// Brings the store back from the copy that it took last, after which operators write again
    /// what it lost. Upstreams do so with their heartbeats. Precondition: it has taken a copy.
    auto restoreStore() -> void;
    /// Adds a host and starts it. @returns its index.
    auto addHost(const std::string &zone) -> std::size_t;
    /// Publishes the current rows of the plan under the next version.
    auto publish() -> void;

    [[nodiscard]] auto clock() -> VirtualClock & { return this->time; }
    [[nodiscard]] auto network() -> Network & { return this->links; }
    [[nodiscard]] auto store() -> EmulatedStore & { return this->platform; }
    [[nodiscard]] auto host(std::size_t index) -> EmulatedHost & { return *this->hosts[index]; }
    [[nodiscard]] auto hostCount() const -> std::size_t { return this->hosts.size(); }
    [[nodiscard]] auto upstreamEntry(std::size_t index) -> UpstreamEntry &
    {
        return *this->upstreamEntries[index];
    }
    [[nodiscard]] auto upstreamCount() const -> std::size_t { return this->upstreamEntries.size(); }
    /// Returns the indices of a service's running upstreams; of all services for an empty name.
    [[nodiscard]] auto running(const std::string &service) const -> std::vector<std::size_t>;
    [[nodiscard]] auto callers() -> CallerPool & { return this->pool; }
    [[nodiscard]] auto peers() -> PeerMesh & { return this->mesh; }
    [[nodiscard]] auto draw() -> std::mt19937_64 & { return this->random; }
    [[nodiscard]] auto logCount(LogEvent event) const -> std::uint64_t;

    DayPlan plan;
    double loadFactor = 1; ///< Multiplies the request rate of every zone.
    /// Maps a zone to the zone whose hosts its moved callers reach.
    std::map<std::string, std::string> movedCallers;
    double movedShare = 0.5; ///< Share of callers that moved.

private:
    auto settingsOf(const std::string &zone, std::size_t number) -> Init;
    auto makeUpstreamCallbacks(std::size_t index) -> UpstreamCallbacks;
    auto sendHeartbeat(std::size_t index) -> void;
    auto checkOpening(const UpstreamEntry &entry) -> void;
    auto checkEvacuatedOpening(const UpstreamEntry &entry) -> void;
    auto checkColdOpening(std::size_t index) -> void;
    auto accumulateColdTime() -> void;
    [[nodiscard]] auto servicePlanOf(const std::string &service) const -> const ServicePlan &;
    auto runHousekeeping() -> void;
    auto makeCallerPoolCallbacks() -> CallerPoolCallbacks;
    auto sendToFabric(std::size_t caller, const FlowPacket &packet) -> void;
    auto toUpstream(const EmulatedHost &host, const PacketTarget &target, const FlowPacket &packet)
            -> void;
    /// @param resetBy why a host reset the flow; empty for a packet from an upstream.
    auto toCaller(const FlowPacket &packet, std::optional<PacketReason> resetBy) -> void;
    auto makeRows() -> PacketRows;
    /// Writes the newest rows and the evacuations in force again if the store lost them.
    auto rewriteLost() -> void;
    /// Checks that each undisturbed host has the rows that were published `rowsBound` ago, and that
    /// no process goes back to older ones.
    auto checkRows() -> void;

    VirtualClock time;
    std::mt19937_64 random;
    Network links;
    EmulatedStore platform;
    PeerMesh mesh;
    Fabric fabric;
    Judge judge;
    std::vector<std::unique_ptr<EmulatedHost>> hosts;
    std::vector<std::unique_ptr<UpstreamEntry>> upstreamEntries;
    std::map<Address, std::size_t> upstreamByAddress; ///< The latest upstream at each address.
    CallerPool pool;
    std::map<LogEvent, std::uint64_t> logs;
    std::map<std::string, MonoTime> evacuatedAt; ///< Start of the evacuations in force, by zone.
    bool hasLoadStarted = false;                 ///< Whether callers send requests.
    PacketRows newestRows;                       ///< As last published.
    std::vector<MonoTime> publishedAt;           ///< When each version of the rows was published.
    std::map<std::string, RowsOfHost> rowsSeen;  ///< By host.
    std::uint64_t packetBytesBetweenZones = 0;
};

} // namespace flamingograde::emulator
