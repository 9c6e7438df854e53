/// What carries callers' packets.
#pragma once

#include "net/packetsocket.h"
#include "net/packettraffic.h"
#include "wire/settings.h"

#include <flamingograde/balancer.h>
#include <flamingograde/clock.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct st_h2o_req_t;

namespace flamingograde::net {

class Loop;

/// The socket of packets, answers to the fabric's readiness checks, and the log's lines on packets.
/// @remarks Not thread safe.
class PacketPlane
{
public:
    /// @param decider decides on packets. Precondition: it outlives this, as does `loop`.
    /// @param ready whether the fabric may send packets.
    PacketPlane(Loop &owner, const Settings &chosen, Balancer &decider,
                std::function<bool()> ready);

    /// Binds where packets come in. Precondition: called once.
    /// @returns nothing, or why it cannot be bound.
    [[nodiscard]] auto open() -> tl::expected<void, std::string>;

    /// Answers a readiness check. Precondition: nothing of `request` was answered.
    auto answerReadiness(st_h2o_req_t *request) const -> void;

    /// Begins to read packets once this host can decide on them, or has waited long enough.
    /// Precondition: opened; to be called in each turn of the loop.
    auto startIfServing(MonoTime now) -> void;

    /// Logs datagrams that are no packet. Precondition: opened; to be called on each tick.
    auto tick(MonoTime now) -> void;

    /// Returns the counters. Precondition: opened.
    [[nodiscard]] auto traffic() const -> const PacketTraffic & { return this->socket->traffic(); }
    /// Returns where packets come in. Precondition: opened.
    [[nodiscard]] auto bound() const -> Address { return this->socket->bound(); }

private:
    auto steer(const std::vector<PacketHead> &heads, std::vector<PacketDecision> &decisions)
            -> void;
    auto sayPacket(const PacketHead &head, const PacketDecision &decision) const -> void;

    Loop &loop;
    const Settings &settings;
    Balancer &balancer;
    std::function<bool()> isReady;
    std::unique_ptr<PacketSocket> socket;
    MonoTime openedAt;
    bool started = false;
    std::uint64_t malformedSaid = 0; ///< Of the malformed datagrams, those that the log has.
};

} // namespace flamingograde::net
