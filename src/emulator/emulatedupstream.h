/// Emulated upstream that serves flows at packet level.
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

/// State of an upstream's process.
enum class UpstreamLife : std::uint8_t {
    Running,
    Crashed, ///< No process; the machine answers with resets.
    Dark,    ///< The machine does not answer.
};

/// Callbacks for an upstream's packets and request runs.
struct UpstreamCallbacks
{
    std::function<void(const FlowPacket &)> toCaller;  ///< Sends a packet to a caller.
    std::function<void(std::uint64_t request)> onRun;  ///< A request starts to run.
    std::function<void(const FlowPacket &)> onOpening; ///< An opening packet was received.
};

/// Accepts flows, runs requests in slots, queues up to `queueMax` and sheds the rest.
/// @remarks Not thread safe.
class EmulatedUpstream
{
public:
    /// @param registration the record it registers with. Precondition: its instance is valid.
    EmulatedUpstream(VirtualClock &virtualClock, Upstream registration, UpstreamCallbacks handlers,
                     std::uint64_t seed);

    /// Handles a packet that reached the upstream's address.
    /// @param targetInstance the instance that the packet is meant for; invalid for any. Packets
    /// for another instance are dropped.
    auto take(InstanceId targetInstance, const FlowPacket &packet) -> void;

    /// Ends the process with the given failure and discards its state. Precondition: none.
    auto fail(UpstreamLife kind) -> void;
    /// Restarts the process with empty state; it is cold until `cold`. Precondition: it has failed.
    auto restart(MonoTime cold) -> void;
    /// From now on closes each flow after its next answer. Precondition: none.
    auto drain() -> void { this->draining = true; }

    [[nodiscard]] auto description() const -> const Upstream & { return this->self; }
    [[nodiscard]] auto life() const -> UpstreamLife { return this->state; }
    /// Returns whether a flow is open at this upstream. Precondition: none.
    [[nodiscard]] auto holds(Address caller, Address service) const -> bool;
    /// Returns the number of running requests. Precondition: none.
    [[nodiscard]] auto runningCount() const -> std::size_t { return this->running; }
    /// Returns the number of queued requests. Precondition: none.
    [[nodiscard]] auto queuedCount() const -> std::size_t { return this->waiting.size(); }

    double serviceTimeFactor = 1; ///< Multiplies the service time.
    std::size_t queueMax = 8;     ///< Maximum number of queued requests; more are shed.
    MonoTime coldUntil;           ///< Until then, service times are multiplied by `coldFactor`.
    double coldFactor = 1.6;
    std::uint64_t shedCount = 0;
    std::uint64_t runCount = 0;
    std::uint64_t busyUs = 0; ///< Total time in microseconds that slots were occupied.

private:
    using Key = std::pair<Address, Address>; ///< Caller and service addresses.

    struct Flow
    {
        std::uint64_t generation = 0; ///< Distinguishes successive flows with the same key.
        bool open = false;
        bool finished = false;
        Cookie cookie;
        std::uint32_t expected = 0; ///< Next sequence number expected from the caller.
        std::uint32_t began = 0;    ///< Sequence number at which the current request starts.
        std::uint32_t unacked = 0;  ///< Received packets not yet acknowledged.
        std::uint64_t request = 0;  ///< Latest request received completely.
        std::uint64_t answer = 0;   ///< Request whose answer is being sent.
        bool shed = false;          ///< The answer reports that the request was shed.
        std::uint32_t answerBytes = 0;
        ByteStream out;
        std::uint32_t retries = 0;
        bool isResendScheduled = false;
    };
    struct Job
    {
        Key key;
        std::uint64_t generation = 0;
        std::uint64_t request = 0;
        std::uint64_t work = 0;
        std::uint32_t answerBytes = 0;
    };

    auto handleOpening(const Key &key, const FlowPacket &packet) -> void;
    auto handleData(const Key &key, Flow &flow, const FlowPacket &packet) -> void;
    auto admit(const Job &job) -> void;
    auto start(const Job &job) -> void;
    auto finish(const Job &job) -> void;
    auto answer(const Job &job, bool shed, std::uint32_t bytes) -> void;
    auto sendPending(const Key &key, Flow &flow) -> void;
    auto scheduleResend(const Key &key, Flow &flow, Duration pause) -> void;
    auto reset(const FlowPacket &packet) -> void;
    auto reply(const Key &key, const Flow &flow, PacketFlags flags) -> FlowPacket;

    VirtualClock &clock;
    Upstream self;
    UpstreamCallbacks callbacks;
    std::mt19937_64 random;
    UpstreamLife state = UpstreamLife::Running;
    bool draining = false;
    std::map<Key, Flow> flows;
    std::deque<Job> waiting;
    std::size_t running = 0;
    std::uint64_t lastGeneration = 0;
    std::uint32_t processStarts = 1; ///< Process starts so far; runs of earlier ones are ignored.
};

} // namespace flamingograde::emulator
