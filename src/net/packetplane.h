/// What carries callers' packets.
#pragma once

#include "net/httpserver.h"
#include "net/packetsocket.h"
#include "net/packettraffic.h"
#include "wire/settings.h"

#include <flamingograde/balancer.h>
#include <flamingograde/clock.h>

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace flamingograde::net {

class Loop;

/// The socket of packets, the fabric's readiness checks, and the log's lines on packets.
/// @remarks Not thread safe.
class PacketPlane
{
public:
    /// @param decider decides on packets. Precondition: it outlives this, as does `loop`.
    /// @param ready whether the fabric may send packets.
    PacketPlane(Loop &owner, const Settings &chosen, Balancer &decider,
                std::function<bool()> ready);

    /// Binds what the settings name. Precondition: called once.
    /// @returns nothing, or why something cannot be bound.
    [[nodiscard]] auto open() -> tl::expected<void, std::string>;

    /// Begins to read packets once this host can decide on them, or has waited long enough.
    /// Precondition: opened; to be called on each tick.
    auto tick(MonoTime now) -> void;

    /// Returns the counters. Precondition: opened.
    [[nodiscard]] auto traffic() const -> const PacketTraffic & { return this->socket->traffic(); }
    /// Returns where packets come in. Precondition: opened.
    [[nodiscard]] auto bound() const -> Address { return this->socket->bound(); }
    /// Returns where readiness is asked for; invalid for nowhere.
    [[nodiscard]] auto readyBound() const -> Address { return this->readyAddress; }

private:
    auto steer(const std::vector<PacketHead> &heads, std::vector<PacketDecision> &decisions)
            -> void;
    auto sayPacket(const PacketHead &head, const PacketDecision &decision) const -> void;
    auto answerReadiness(st_h2o_req_t *request) const -> void;

    Loop &loop;
    const Settings &settings;
    Balancer &balancer;
    std::function<bool()> isReady;
    HttpServer fabric;
    Address readyAddress;
    std::unique_ptr<PacketSocket> socket;
    MonoTime openedAt;
};

} // namespace flamingograde::net
