/// The fabric, callers and upstreams of packet flows, over UDP on loopback.
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

/// Runs the emulator's callers and upstreams in real time and judges what reaches them.
/// @remarks Not thread safe.
class PacketsProgram
{
public:
    PacketsProgram(asio::io_context &owner, Control &control, const Json &options);

    /// Returns the fields of the `ready` event.
    [[nodiscard]] auto ready() const -> Json { return { { "caller_port", this->callerPort } }; }

private:
    using Udp = asio::ip::udp;
    using Clock = std::chrono::steady_clock;

    /// A socket and what it reads into.
    struct Port
    {
        explicit Port(asio::io_context &loop) : socket(loop) {}
        Udp::socket socket;
        Udp::endpoint sender;
        std::array<std::uint8_t, 2048> buffer {};
    };
    struct Host
    {
        std::string zone;
        Udp::endpoint packets;
        std::unique_ptr<HostCheck> check;
    };
    struct Upstream
    {
        std::unique_ptr<flamingograde::emulator::EmulatedUpstream> process;
        std::unique_ptr<Port> port;
        std::string service;
        bool leaving = false;
        Clock::time_point leftAt;
    };

    auto setHandlers(Control &control) -> void;
    auto addHost(const Json &command) -> Json;
    auto addUpstream(const Json &command) -> Json;
    auto failUpstream(const Json &command) -> Json;
    auto drainUpstream(const Json &command) -> Json;
    auto beginLoad(const Json &command) -> Json;
    auto sendRaw(const Json &command) -> Json;
    [[nodiscard]] auto report() const -> Json;

    auto turn() -> void;
    auto addCaller(std::size_t caller, std::uint32_t ip) -> void;
    auto toFabric(std::size_t caller, const FlowPacket &packet) -> void;
    auto readCaller(std::size_t caller) -> void;
    auto takeAtCaller(std::size_t caller, std::size_t size) -> void;
    auto readUpstream(const std::string &name) -> void;
    auto takeAtUpstream(const std::string &name, std::size_t size) -> void;
    auto noteOpening(const std::string &name, const FlowPacket &packet) -> void;
    [[nodiscard]] auto chooseHost(const std::string &zone, const FlowPacket &packet) const
            -> const Host *;
    [[nodiscard]] auto isHeld(const FlowPacket &packet) const -> bool;

    asio::io_context &loop;
    asio::steady_timer timer;
    Clock::time_point began = Clock::now();
    flamingograde::emulator::VirtualClock clock;
    flamingograde::MonoTime clockBegan;
    flamingograde::emulator::CallerPool callers;
    flamingograde::emulator::Judge judge;
    std::uint16_t callerPort = 0;
    Udp::socket fabricSocket;
    std::map<std::string, Host> hosts;
    std::map<std::string, Upstream> upstreams;
    std::map<std::size_t, std::unique_ptr<Port>> callerPorts;
    std::vector<std::unique_ptr<flamingograde::emulator::LoadKind>> kinds;
    std::map<std::string, std::string> serviceOf; ///< By the row's address.
    std::uint64_t notIntact = 0;                  ///< Packets that arrived otherwise than written.
    std::uint64_t strays = 0; ///< Packets of an open flow that reached another upstream.
    std::uint64_t lateOpenings = 0;
    std::chrono::milliseconds latestOpening { 0 };
    std::uint64_t lastInstance = 0x1000;
};

} // namespace standins
