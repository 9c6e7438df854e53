/// Hosts, upstreams, callers, fabric and store of one emulated day.
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

/// A registered upstream: its process, and what the platform does for it.
struct UpstreamSeat
{
    std::unique_ptr<EmulatedUpstream> process;
    Place place;
    Upstream record;                       ///< As it reports itself.
    bool reports = true;                   ///< Sends heartbeats.
    bool isBeating = false;                ///< Its next heartbeat is planned.
    bool stored = false;                   ///< The store took its newest record.
    std::optional<MonoTime> leftAt;        ///< When the store took that it leaves or is gone.
    std::optional<MonoTime> disturbedAt;   ///< Until when it was last crashed or cut.
    std::deque<MonoTime> coldOpenings;     ///< While it is cold, within the last second.
    const EmulatedHost *through = nullptr; ///< The host whose packet it takes.
};

/// One deterministic world. The same plan gives the same day.
/// @remarks Not thread safe. Not movable: its parts refer to each other.
class Emulation
{
public:
    /// Precondition: every service and row of the plan has a name of its own.
    explicit Emulation(DayPlan day);
    ~Emulation();
    Emulation(const Emulation &) = delete;
    auto operator=(const Emulation &) -> Emulation & = delete;

    /// Starts hosts and upstreams, and lets the lead pass. Precondition: called once.
    auto begin() -> void;
    /// Begins the load and its windows. Precondition: after `begin`.
    auto beginLoad() -> void;
    /// Lets time pass. Precondition: after `begin`.
    auto run(Duration duration) -> void { this->time.run(duration); }
    /// Plays the whole day with its troubles. Precondition: called once, in place of the others.
    auto play() -> DayResult;
    /// Returns what the day came to so far. Precondition: none.
    [[nodiscard]] auto result() -> DayResult;

    /// Adds an upstream that registers at once. @returns its index.
    auto addUpstream(const std::string &service, const std::string &zone, Address address = {})
            -> std::size_t;
    /// Has an upstream say that it leaves; it ends after the bound and `extra`.
    auto drainUpstream(std::size_t index, Duration extra = std::chrono::seconds(1)) -> void;
    /// Ends an upstream at once.
    auto failUpstream(std::size_t index, UpstreamLife kind) -> void;
    /// Ends an upstream at once and starts it again under its id after a time.
    auto restartUpstream(std::size_t index, UpstreamLife kind, Duration after) -> void;
    /// Notes that what lies around an upstream is disturbed for a time: resets are excused by it.
    auto disturbUpstream(std::size_t index, Duration duration) -> void;
    /// Evacuates a zone; retries until the store takes the order.
    auto evacuateZone(const std::string &zone) -> void;
    /// Ends a zone's evacuation; retries until the store takes it.
    /// @param cold whether the zone's upstreams are cold afterwards.
    auto endEvacuation(const std::string &zone, bool cold) -> void;
    /// Adds a host and starts it. @returns its index.
    auto addHost(const std::string &zone) -> std::size_t;
    /// Publishes the rows of the plan, and of those added since, under the next version.
    auto publish() -> void;

    [[nodiscard]] auto clock() -> VirtualClock & { return this->time; }
    [[nodiscard]] auto network() -> Network & { return this->links; }
    [[nodiscard]] auto store() -> EmulatedStore & { return this->platform; }
    [[nodiscard]] auto host(std::size_t index) -> EmulatedHost & { return *this->hosts[index]; }
    [[nodiscard]] auto hostCount() const -> std::size_t { return this->hosts.size(); }
    [[nodiscard]] auto seat(std::size_t index) -> UpstreamSeat & { return *this->seats[index]; }
    [[nodiscard]] auto seatCount() const -> std::size_t { return this->seats.size(); }
    /// Returns the indices of a service's running upstreams; of all services for an empty name.
    [[nodiscard]] auto running(const std::string &service) const -> std::vector<std::size_t>;
    [[nodiscard]] auto callers() -> CallerPool & { return this->pool; }
    [[nodiscard]] auto peers() -> PeerMesh & { return this->mesh; }
    [[nodiscard]] auto draw() -> std::mt19937_64 & { return this->random; }
    [[nodiscard]] auto logCount(LogEvent event) const -> std::uint64_t;

    DayPlan plan;
    double loadFactor = 1;                           ///< Of all zones' requests.
    std::map<std::string, std::string> movedCallers; ///< Zones whose callers come in elsewhere.
    double movedShare = 0.5;                         ///< Part of the callers that moved.

private:
    auto settingsOf(const std::string &zone, std::size_t number) -> Init;
    auto surroundingsOf(std::size_t seat) -> UpstreamSurroundings;
    auto beat(std::size_t index) -> void;
    auto judgeOpening(const UpstreamSeat &seat) -> void;
    auto judgeEvacuation(const UpstreamSeat &seat) -> void;
    auto judgeColdOpening(std::size_t index) -> void;
    auto accumulateColdTime() -> void;
    [[nodiscard]] auto servicePlanOf(const std::string &service) const -> const ServicePlan &;
    auto housekeep() -> void;
    auto callersSurroundings() -> PoolSurroundings;
    auto sendToFabric(std::size_t caller, const FlowPacket &packet) -> void;
    auto toUpstream(const EmulatedHost &host, const PacketTarget &target, const FlowPacket &packet)
            -> void;
    /// @param resetBy why a host reset the flow; nothing for an upstream's packet.
    auto toCaller(const FlowPacket &packet, std::optional<PacketReason> resetBy) -> void;
    auto rowsNow() -> PacketRows;

    VirtualClock time;
    std::mt19937_64 random;
    Network links;
    EmulatedStore platform;
    PeerMesh mesh;
    Fabric fabric;
    Judge judge;
    std::vector<std::unique_ptr<EmulatedHost>> hosts;
    std::vector<std::unique_ptr<UpstreamSeat>> seats;
    std::map<Address, std::size_t> seatAt; ///< The last to have the address.
    CallerPool pool;
    std::map<LogEvent, std::uint64_t> logs;
    std::map<std::string, MonoTime> evacuatedAt; ///< By zone, for evacuations in force.
    bool hasLoadStarted = false;                 ///< Whether callers send requests.
    std::uint64_t rowsVersion = 0;
    std::uint64_t packetBytesBetweenZones = 0;
};

} // namespace flamingograde::emulator
