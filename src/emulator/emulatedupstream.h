/// An upstream that takes flows as packets.
#pragma once

#include "emulator/bytestream.h"
#include "emulator/flowpacket.h"

#include <flamingograde/clock.h>
#include <flamingograde/upstream.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace flamingograde::emulator {

class VirtualClock;

/// What an upstream's process does.
enum class UpstreamLife : std::uint8_t {
    Running,
    Crashed, ///< No process: its machine answers with resets.
    Dark,    ///< Nothing answers.
};

/// Where an upstream's packets and runs go.
struct UpstreamSurroundings
{
    std::function<void(const FlowPacket &)> toCaller;  ///< A packet to a caller.
    std::function<void(std::uint64_t request)> onRun;  ///< A request begins to run.
    std::function<void(const FlowPacket &)> onOpening; ///< An opening packet was taken.
};

/// Holds flows, runs requests in slots, queues a few and sheds the rest.
/// @remarks Not thread safe.
class EmulatedUpstream
{
public:
    /// @param described what it registers as. Precondition: its instance is valid.
    EmulatedUpstream(VirtualClock &owner, Upstream described, UpstreamSurroundings around,
                     std::uint64_t seed);

    /// Takes a datagram that reached its address.
    /// @param intended the instance named before the packet; invalid for any.
    auto take(InstanceId intended, const FlowPacket &packet) -> void;

    /// Ends its process or silences it. Precondition: none.
    auto fail(UpstreamLife kind) -> void;
    /// Starts it again without anything that it held. Precondition: it failed.
    auto restart(MonoTime cold) -> void;
    /// Closes each flow after its next answer from now on. Precondition: none.
    auto drain() -> void { this->draining = true; }

    [[nodiscard]] auto description() const -> const Upstream & { return this->self; }
    [[nodiscard]] auto life() const -> UpstreamLife { return this->state; }
    /// Returns whether a flow is open here. Precondition: none.
    [[nodiscard]] auto holds(Address caller, Address service) const -> bool;
    /// Returns the requests that run. Precondition: none.
    [[nodiscard]] auto runningCount() const -> std::size_t { return this->running; }
    /// Returns the requests that wait. Precondition: none.
    [[nodiscard]] auto queuedCount() const -> std::size_t { return this->waiting.size(); }

    double slowness = 1;      ///< Runs take so many times as long.
    std::size_t queueMax = 8; ///< Requests that wait; more are shed.
    MonoTime coldUntil;       ///< Runs take `coldFactor` times as long before this.
    double coldFactor = 1.6;
    std::uint64_t shedCount = 0;
    std::uint64_t runCount = 0;
    std::uint64_t busyUs = 0; ///< Time that its slots were taken.

private:
    using Key = std::pair<Address, Address>; ///< Caller and service.

    struct Flow
    {
        std::uint64_t life = 0; ///< To tell it from an earlier flow of the same ends.
        bool open = false;
        bool finished = false;
        Cookie cookie;
        std::uint32_t expected = 0; ///< The caller's next byte.
        std::uint32_t began = 0;    ///< The first byte of the request that comes in.
        std::uint32_t unacked = 0;  ///< Packets not acknowledged yet.
        std::uint64_t request = 0;  ///< The request that came in last.
        std::uint64_t answer = 0;   ///< The request that the stream answers.
        bool shed = false;          ///< The answer says that it was not run.
        std::uint32_t answerBytes = 0;
        ByteStream out;
        std::uint32_t retries = 0;
        bool timing = false;
    };
    struct Job
    {
        Key key;
        std::uint64_t life = 0;
        std::uint64_t request = 0;
        std::uint64_t work = 0;
        std::uint32_t answerBytes = 0;
    };

    auto takeOpening(const Key &key, const FlowPacket &packet) -> void;
    auto takeData(const Key &key, Flow &flow, const FlowPacket &packet) -> void;
    auto admit(const Job &job) -> void;
    auto start(const Job &job) -> void;
    auto finish(const Job &job) -> void;
    auto answer(const Job &job, bool shed, std::uint32_t bytes) -> void;
    auto pump(const Key &key, Flow &flow) -> void;
    auto watch(const Key &key, Flow &flow, Duration pause) -> void;
    auto reset(const FlowPacket &packet) -> void;
    auto reply(const Key &key, const Flow &flow, PacketFlags flags) -> FlowPacket;

    VirtualClock &clock;
    Upstream self;
    UpstreamSurroundings surroundings;
    std::mt19937_64 random;
    UpstreamLife state = UpstreamLife::Running;
    bool draining = false;
    std::map<Key, Flow> flows;
    std::deque<Job> waiting;
    std::size_t running = 0;
    std::uint64_t lastLife = 0;
    std::uint32_t starts = 1; ///< Of its process: runs of an earlier one end nothing.
};

} // namespace flamingograde::emulator
