/// Emulated entry host that runs the `Balancer` library in an emulated process.
#pragma once

#include "emulator/emulatedstore.h"
#include "emulator/flowpacket.h"
#include "emulator/network.h"
#include "emulator/peermesh.h"

#include <flamingograde/balancer.h>
#include <flamingograde/clock.h>
#include <flamingograde/init.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace flamingograde::emulator {

class EmulatedReader;
class VirtualClock;

/// State of a host's process.
enum class HostLife : std::uint8_t {
    Off,      ///< No process; the machine refuses connections or is powered off.
    Starting, ///< The process is starting and does not listen yet.
    Running,
    Frozen, ///< The process is suspended; received packets and events are queued.
};

/// Startup and processing times of a host.
struct HostTimes
{
    Duration start { 250000 };   ///< From the start of a process until it listens.
    Duration restart { 100000 }; ///< From the end of a process until the next one starts.
    Duration packet { 50 };      ///< Processing time of one packet.
    Duration message { 0 };      ///< Processing time of one peer message, connect or disconnect.
};

/// Callbacks for a host's packets and logs.
struct HostCallbacks
{
    std::function<void(const PacketTarget &, const FlowPacket &)> toUpstream;
    std::function<void(const FlowPacket &, PacketReason)> toCaller; ///< Sends a host's own reset.
    std::function<void(const Log &)> onLog;
};

/// Runs a `Balancer` and emulates starts, stops, kills and freezes of its process.
/// @remarks Not thread safe.
class EmulatedHost
{
public:
    EmulatedHost(VirtualClock &virtualClock, PeerMesh &peers, EmulatedStore &platform,
                 Init settings, HostTimes hostTimes, HostCallbacks handlers);

    ~EmulatedHost();
    EmulatedHost(const EmulatedHost &) = delete;
    auto operator=(const EmulatedHost &) -> EmulatedHost & = delete;

    /// Starts the process. Precondition: the process is off.
    auto start() -> void;
    /// Kills the process immediately.
    /// @param power whether the machine loses power, so that it does not answer until `start`.
    auto kill(bool power) -> void;
    /// Kills the process immediately and starts it again after `HostTimes::restart`.
    auto restart() -> void;
    /// Requests an orderly stop; restarts the process after it has ended if `restartAfterwards` is
    /// set.
    auto stop(bool restartAfterwards) -> void;
    /// Suspends the process until `wake`. Precondition: the process is running.
    auto freeze() -> void;
    auto wake() -> void;

    /// Handles a packet from the fabric; dropped unless the process is running or frozen.
    /// Precondition: none.
    auto take(const FlowPacket &packet) -> void;
    /// Passes an event to the library; queued while frozen, dropped while off or starting.
    /// Precondition: none.
    auto handleEvent(Event event) -> void;

    /// Returns whether the fabric's health check succeeds; false if the host does not answer.
    [[nodiscard]] auto passesHealthCheck() const -> bool;
    [[nodiscard]] auto life() const -> HostLife { return this->state; }
    [[nodiscard]] auto place() const -> const Place & { return this->self; }
    [[nodiscard]] auto id() const -> HostId { return this->init.self.id; }
    /// Returns the library instance. Precondition: the process is running or frozen.
    [[nodiscard]] auto balancer() const -> const Balancer & { return *this->library; }
    [[nodiscard]] auto name() const -> const std::string & { return this->self.name; }

    std::uint64_t startCount = 0;
    std::uint64_t packetCount = 0;
    /// When the host was last not running or without reliable answers from the store.
    MonoTime disturbedAt;

private:
    /// A packet that waits until this host reads packets.
    struct HeldPacket
    {
        FlowPacket packet;
        MonoTime arrived;
    };

    auto begin(std::uint64_t generation) -> void;
    auto tick(std::uint64_t generation) -> void;
    auto handle(Event event) -> void;
    auto perform(const Action &action) -> void;
    /// Runs `task` after all earlier work of the process plus `cost` of processing time.
    auto scheduleWork(Duration cost, std::function<void()> task) -> void;
    auto steer(const FlowPacket &packet, MonoTime arrived) -> void;
    auto steerHeldPackets() -> void;
    [[nodiscard]] auto holdsPackets() const -> bool;
    auto reset(const FlowPacket &packet, PacketReason reason) -> void;
    auto endProcess(bool power) -> void;
    [[nodiscard]] auto clockNow() const -> Now;

    VirtualClock &clock;
    PeerMesh &mesh;
    EmulatedStore &store;
    Init init;
    HostTimes times;
    HostCallbacks callbacks;
    Place self;
    std::unique_ptr<Balancer> library;
    HostLife state = HostLife::Off;
    std::uint64_t currentGeneration = 0;
    std::unique_ptr<EmulatedReader> reader; ///< Of the running process.
    bool restartsAfterStop = false;
    MonoTime bootedAt; ///< When the machine's steady clock began.
    MonoTime busyUntil;
    MonoTime processStartedAt;
    std::deque<Event> heldEvents;
    std::deque<HeldPacket> heldPackets;
    std::vector<PacketHead> heads;
    std::vector<PacketDecision> decisions;
};

} // namespace flamingograde::emulator
