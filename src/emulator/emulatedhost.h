/// An entry host: the deciding library in an emulated process.
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

class VirtualClock;

/// What a host's process does.
enum class HostLife : std::uint8_t {
    Off,      ///< No process; its machine refuses connections, or has no power.
    Starting, ///< Loading; takes nothing yet.
    Running,
    Frozen, ///< Stands still; what comes waits.
};

/// What a host costs in time.
struct HostTimes
{
    Duration start { 250000 };   ///< From the start of a process until it listens.
    Duration restart { 100000 }; ///< From the end of a process until the next begins.
    Duration packet { 50 };      ///< Processing of one packet.
    Duration message { 0 }; ///< Of one message of another host, or a connection's begin or end.
};

/// Where a host's packets and logs go.
struct HostSurroundings
{
    std::function<void(const PacketTarget &, const FlowPacket &)> toUpstream;
    std::function<void(const FlowPacket &, PacketReason)> toCaller; ///< A reset of its own.
    std::function<void(const Log &)> onLog;
};

/// Runs a `Balancer` through starts, stops, kills and freezes.
/// @remarks Not thread safe.
class EmulatedHost
{
public:
    EmulatedHost(VirtualClock &owner, PeerMesh &peers, EmulatedStore &platform, Init settings,
                 HostTimes costs, HostSurroundings around);

    /// Starts a process. Precondition: it is off.
    auto start() -> void;
    /// Ends the process at once.
    /// @param power its machine does not answer until `start`.
    auto kill(bool power) -> void;
    /// Ends the process at once and starts it again after the time that a restart takes.
    auto restart() -> void;
    /// Asks for an orderly stop; the process is started again when it has ended, if `again`.
    auto stop(bool again) -> void;
    /// Stands still until `wake`. Precondition: it runs.
    auto freeze() -> void;
    auto wake() -> void;

    /// Takes a packet that the fabric sent. Precondition: none.
    auto take(const FlowPacket &packet) -> void;
    /// Takes an event. Precondition: none.
    auto give(Event event) -> void;

    /// Returns whether the fabric's check is answered with "ready"; false for no answer.
    [[nodiscard]] auto answersReady() const -> bool;
    [[nodiscard]] auto life() const -> HostLife { return this->state; }
    [[nodiscard]] auto place() const -> const Place & { return this->self; }
    [[nodiscard]] auto id() const -> HostId { return this->init.self.id; }
    /// Returns the library of the process. Precondition: it runs or is frozen.
    [[nodiscard]] auto balancer() const -> const Balancer & { return *this->library; }
    [[nodiscard]] auto name() const -> const std::string & { return this->self.name; }

    std::uint64_t startCount = 0;
    std::uint64_t packetCount = 0;
    MonoTime disturbedAt; ///< When it last was not running, or out of touch with the store.

private:
    auto begin(std::uint64_t life) -> void;
    auto tick(std::uint64_t life) -> void;
    auto handle(Event event) -> void;
    auto perform(const Action &action) -> void;
    /// Runs `task` once the process has done what came before it, and has worked on it for `cost`.
    auto afterWork(Duration cost, std::function<void()> task) -> void;
    auto steer(const FlowPacket &packet) -> void;
    auto steerWaiting() -> void;
    [[nodiscard]] auto holdsPackets() const -> bool;
    auto reset(const FlowPacket &packet, PacketReason reason) -> void;
    auto endProcess(bool power) -> void;
    [[nodiscard]] auto clockNow() const -> Now;

    VirtualClock &clock;
    PeerMesh &mesh;
    EmulatedStore &store;
    Init init;
    HostTimes times;
    HostSurroundings surroundings;
    Place self;
    std::unique_ptr<Balancer> library;
    HostLife state = HostLife::Off;
    std::uint64_t lives = 0;
    std::uint64_t reads = 0; ///< Numbers reads of the store, so that only the last is answered.
    bool startsAgain = false;
    MonoTime busyUntil;
    MonoTime begunAt;
    std::deque<Event> waitingEvents;
    std::deque<FlowPacket> waitingPackets;
    std::vector<PacketHead> heads;
    std::vector<PacketDecision> decisions;
};

} // namespace flamingograde::emulator
