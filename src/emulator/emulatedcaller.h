/// Emulated caller that keeps at most one flow open.
#pragma once

#include "emulator/bytestream.h"
#include "emulator/flowpacket.h"
#include "emulator/loadkind.h"

#include <flamingograde/address.h>
#include <flamingograde/clock.h>

#include <cstdint>
#include <functional>
#include <random>

namespace flamingograde::emulator {

class VirtualClock;

/// Outcome of a request as seen by its caller.
enum class RequestEnd : std::uint8_t {
    Answered, ///< Answered, within the target time or later.
    Refused,  ///< The last attempt was shed, or reset before its flow opened.
    Failed,   ///< No answer within the deadline, or the flow was reset.
};

/// Result of one request including all its attempts.
struct RequestResult
{
    const LoadKind *kind = nullptr;
    RequestEnd end = RequestEnd::Failed;
    MonoTime began;
    Duration took { 0 };
    std::uint32_t attempts = 0;
};

/// Callbacks for a caller's packets, results and number allocation.
struct CallerCallbacks
{
    std::function<void(const FlowPacket &)> toFabric;
    std::function<void(const RequestResult &)> onEnd;
    std::function<std::uint64_t()> nextRequest; ///< Allocates a number for an attempt; never 0.
    std::function<std::uint16_t()> nextPort;    ///< Allocates a port for a flow.
};

/// Makes one request at a time: opens flows, resends lost packets and retries failed attempts.
/// @remarks Not thread safe.
class EmulatedCaller
{
public:
    /// @param ownIp IP address of the caller.
    EmulatedCaller(VirtualClock &virtualClock, std::uint32_t ownIp, CallerCallbacks handlers,
                   std::uint64_t seed);

    /// Starts a request. Precondition: `isFree()`; `kind` outlives the request.
    auto begin(const LoadKind &kind) -> void;
    /// Handles a received packet.
    /// @param fromHost whether a host sent the packet, which is then a reset.
    /// @returns whether a host reset an open flow.
    auto take(const FlowPacket &packet, bool fromHost) -> bool;

    [[nodiscard]] auto isFree() const -> bool { return !this->active; }
    /// Returns whether a flow to `service` is open, which the next request can reuse.
    [[nodiscard]] auto isOpenTo(Address service) const -> bool;
    /// Returns the port of the current flow. Precondition: none.
    [[nodiscard]] auto port() const -> std::uint16_t { return this->flow.port; }
    [[nodiscard]] auto ip() const -> std::uint32_t { return this->address; }

private:
    enum class Stage : std::uint8_t {
        Closed,
        Opening,
        Open,
    };
    struct Flow
    {
        Stage stage = Stage::Closed;
        std::uint16_t port = 0;
        Address service;
        std::uint64_t number = 0; ///< Identifies this flow in timer callbacks.
        Cookie cookie;
        std::uint32_t first = 0;        ///< Sequence number of the opening packet.
        std::uint32_t expected = 0;     ///< Next sequence number expected from the upstream.
        std::uint32_t began = 0;        ///< Sequence number at which the current answer starts.
        std::uint32_t unacked = 0;      ///< Received packets not yet acknowledged.
        std::uint32_t requests = 0;     ///< Requests sent on this flow so far.
        bool closesAfterAnswer = false; ///< The upstream closes the flow after the current answer.
        ByteStream out;
        bool isResendScheduled = false;
    };

    auto startAttempt() -> void;
    auto open() -> void;
    auto sendOpening(std::uint32_t copy) -> void;
    auto sendRequest() -> void;
    auto sendPending() -> void;
    auto scheduleResend(Duration pause) -> void;
    auto handleOpened(const FlowPacket &packet) -> void;
    auto handleAnswer(const FlowPacket &packet) -> void;
    auto finishAttempt(const FlowPacket &packet) -> void;
    auto failAttempt(bool isRetryable, RequestEnd end) -> void;
    auto finish(RequestEnd end) -> void;
    auto close() -> void;
    [[nodiscard]] auto packet() const -> FlowPacket;

    VirtualClock &clock;
    std::uint32_t address;
    CallerCallbacks callbacks;
    std::mt19937_64 random;
    Flow flow;
    bool active = false;
    RequestResult result;
    std::uint64_t request = 0;       ///< Number of the current attempt.
    std::uint64_t requestNumber = 0; ///< Identifies the current request in its deadline timer.
    std::uint64_t work = 0;
    std::uint64_t flows = 0;
};

} // namespace flamingograde::emulator
