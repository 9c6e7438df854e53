/// Receives and forwards callers' packets.
#pragma once

#include "net/packetsocket.h"
#include "net/packettraffic.h"
#include "net/readdelay.h"
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

/// Owns the packet socket, answers the fabric's readiness checks and logs packet events.
/// @remarks Not thread safe.
class PacketPlane
{
public:
    /// @param decider decides where each packet goes. Precondition: it outlives this, as does
    /// `loop`.
    /// @param ready returns whether the fabric may send packets to this host.
    PacketPlane(Loop &owner, const Settings &chosen, Balancer &decider,
                std::function<bool()> ready);

    /// Binds the packet socket. Precondition: called once.
    /// @returns nothing, or an error message.
    [[nodiscard]] auto open() -> tl::expected<void, std::string>;

    /// Answers a readiness check: 200 if this host is ready for packets, otherwise 503; 404 if the
    /// path is not that of the check. Precondition: no response to `request` was started.
    auto answerReadiness(st_h2o_req_t *request) const -> void;

    /// Starts reading packets once this host has a directory, or `config::packetHoldTimeMax` after
    /// `open`. Precondition: opened; called in each turn of the loop.
    auto startIfLoaded(MonoTime now) -> void;

    /// Notes the time, and logs the number of new malformed datagrams. Precondition: opened; called
    /// on each tick.
    auto tick(MonoTime now) -> void;

    /// Returns the traffic counters. Precondition: opened.
    [[nodiscard]] auto traffic() const -> const PacketTraffic & { return this->socket->traffic(); }
    /// Returns the address on which packets are received. Precondition: opened.
    [[nodiscard]] auto bound() const -> Address { return this->socket->bound(); }

private:
    auto steer(std::vector<PacketHead> &heads, bool isBatchFull,
               std::vector<PacketDecision> &decisions) -> void;
    auto logPacket(const PacketHead &head, const PacketDecision &decision) const -> void;

    Loop &loop;
    const Settings &settings;
    Balancer &balancer;
    std::function<bool()> isReady;
    std::unique_ptr<PacketSocket> socket;
    MonoTime openedAt;
    ReadDelay readDelay;
    bool started = false;
    std::uint64_t malformedLogged = 0; ///< Number of malformed datagrams already logged.
};

} // namespace flamingograde::net
