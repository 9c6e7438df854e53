/// A caller with one flow at a time.
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

/// How a request ended for its caller.
enum class RequestEnd : std::uint8_t {
    Answered, ///< In time or late.
    Refused,  ///< The last try was answered "not run", or reset before it opened.
    Failed,   ///< Nothing came, or the flow broke.
};

/// One request from its first try to its end.
struct RequestResult
{
    const LoadKind *kind = nullptr;
    RequestEnd end = RequestEnd::Failed;
    MonoTime began;
    Duration took { 0 };
    std::uint32_t tries = 0;
};

/// Where a caller's packets and results go.
struct CallerSurroundings
{
    std::function<void(const FlowPacket &)> toFabric;
    std::function<void(const RequestResult &)> onEnd;
    std::function<std::uint64_t()> nextRequest; ///< Gives numbers for tries; never 0.
    std::function<std::uint16_t()> nextPort;    ///< Gives ports for flows.
};

/// Makes requests one after the other: opens flows, resends, tries again.
/// @remarks Not thread safe.
class EmulatedCaller
{
public:
    /// @param own where it is reached; the port is that of its first flow.
    EmulatedCaller(VirtualClock &owner, std::uint32_t ownIp, CallerSurroundings around,
                   std::uint64_t seed);

    /// Begins a request. Precondition: `isFree()`; `kind` outlives the request.
    auto begin(const LoadKind &kind) -> void;
    /// Takes a packet that reached it.
    /// @param fromHost it is a host's own reset.
    /// @returns whether a host reset an open flow.
    auto take(const FlowPacket &packet, bool fromHost) -> bool;

    [[nodiscard]] auto isFree() const -> bool { return !this->active; }
    /// Returns whether a flow to `service` is open, so that a request goes on it.
    [[nodiscard]] auto isOpenTo(Address service) const -> bool;
    /// Returns the port of its flow. Precondition: none.
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
        std::uint64_t number = 0; ///< Of this flow, for its timers.
        Cookie cookie;
        std::uint32_t first = 0;    ///< Sequence of its opening packet.
        std::uint32_t expected = 0; ///< The upstream's next byte.
        std::uint32_t began = 0;    ///< First byte of the answer that comes in.
        std::uint32_t unacked = 0;  ///< Packets not acknowledged yet.
        std::uint32_t requests = 0; ///< Carried so far.
        bool finishing = false;     ///< The upstream closes it after this answer.
        ByteStream out;
        bool timing = false;
    };

    auto tryOnce() -> void;
    auto open() -> void;
    auto sendOpening(std::uint32_t copy) -> void;
    auto sendRequest() -> void;
    auto pump() -> void;
    auto watch(Duration pause) -> void;
    auto takeOpened(const FlowPacket &packet) -> void;
    auto takeAnswer(const FlowPacket &packet) -> void;
    auto finishTry(const FlowPacket &packet) -> void;
    auto failTry(bool mayRepeat, RequestEnd end) -> void;
    auto finish(RequestEnd end) -> void;
    auto close() -> void;
    [[nodiscard]] auto packet() const -> FlowPacket;

    VirtualClock &clock;
    std::uint32_t address;
    CallerSurroundings surroundings;
    std::mt19937_64 random;
    Flow flow;
    bool active = false;
    RequestResult result;
    std::uint64_t request = 0; ///< Of the try under way.
    std::uint64_t round = 0;   ///< Of the request under way, for its deadline.
    std::uint64_t work = 0;
    std::uint64_t flows = 0;
};

} // namespace flamingograde::emulator
