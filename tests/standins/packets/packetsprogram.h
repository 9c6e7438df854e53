/// The network fabric, the callers and the upstreams of packet flows, over UDP on loopback.
#pragma once

#include "standins/common/asio.h"
#include "standins/packets/hostcheck.h"
#include "standins/packets/packetbytes.h"

#include "emulator/callerpool.h"
#include "emulator/emulatedupstream.h"
#include "emulator/judge.h"
#include "emulator/virtualclock.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace standins {

class Control;

/// Runs the emulator's callers and upstreams in real time, sends their packets through the hosts
/// under test, and checks the packets that arrive.
/// @remarks Not thread safe.
class PacketsProgram
{
public:
    PacketsProgram(asio::io_context &ioContext, Control &control, const Json &options);

    /// Returns the fields of the `ready` event.
    [[nodiscard]] auto ready() const -> Json { return { { "caller_port", this->callerPort } }; }

private:
    using Udp = asio::ip::udp;
    using Clock = std::chrono::steady_clock;

    /// A UDP socket, the sender of the last datagram and the receive buffer.
    struct UdpReceiver
    {
        explicit UdpReceiver(asio::io_context &loop) : socket(loop) {}
        Udp::socket socket;
        Udp::endpoint sender;
        std::array<std::uint8_t, 2048> buffer {};
    };
    struct Host
    {
        std::string zone;
        Udp::endpoint packetEndpoint;
        std::unique_ptr<HostCheck> check;
    };
    struct Upstream
    {
        std::unique_ptr<flamingograde::emulator::EmulatedUpstream> process;
        std::unique_ptr<UdpReceiver> receiver;
        std::string service;
        bool draining = false;
        Clock::time_point drainingSince;
    };

    auto setHandlers(Control &control) -> void;
    auto addHost(const Json &command) -> Json;
    auto addUpstream(const Json &command) -> Json;
    auto failUpstream(const Json &command) -> Json;
    auto drainUpstream(const Json &command) -> Json;
    auto startLoad(const Json &command) -> Json;
    auto sendRaw(const Json &command) -> Json;
    [[nodiscard]] auto report() const -> Json;

    /// Advances the virtual clock to real time, periodically.
    auto advanceClock() -> void;
    auto addCaller(std::size_t caller, std::uint32_t ip) -> void;
    auto sendToHost(std::size_t caller, const FlowPacket &packet) -> void;
    auto receiveAtCaller(std::size_t caller) -> void;
    auto handleCallerPacket(std::size_t caller, std::size_t size) -> void;
    auto receiveAtUpstream(const std::string &name) -> void;
    auto handleUpstreamPacket(const std::string &name, std::size_t size) -> void;
    auto recordOpening(const std::string &name, const FlowPacket &packet) -> void;
    /// Returns the host that gets `packet`: of those in rotation, preferably in `zone`, the one
    /// with the highest rendezvous hash. Null if no host is in rotation.
    [[nodiscard]] auto chooseHost(const std::string &zone, const FlowPacket &packet) const
            -> const Host *;
    /// Returns whether the flow of `packet` is open on any upstream.
    [[nodiscard]] auto isFlowOpen(const FlowPacket &packet) const -> bool;

    asio::io_context &loop;
    asio::steady_timer timer;
    Clock::time_point startedAt = Clock::now();
    flamingograde::emulator::VirtualClock clock;
    flamingograde::MonoTime clockStartedAt;
    flamingograde::emulator::CallerPool callers;
    flamingograde::emulator::Judge judge;
    std::uint16_t callerPort = 0;
    Udp::socket fabricSocket;
    std::map<std::string, Host> hosts;
    std::map<std::string, Upstream> upstreams;
    std::map<std::size_t, std::unique_ptr<UdpReceiver>> callerReceivers;
    std::vector<std::unique_ptr<flamingograde::emulator::LoadKind>> loadKinds;
    std::map<std::string, std::string> serviceByAddress; ///< Key: address of the service's row.
    std::uint64_t damagedPackets = 0;   ///< Packets with a wrong checksum or too short.
    std::uint64_t misroutedPackets = 0; ///< Packets of an open flow that reached another upstream.
    std::uint64_t lateOpenings = 0;
    std::chrono::milliseconds latestOpeningAfterDrain { 0 };
    std::uint64_t lastInstance = 0x1000;
};

} // namespace standins
