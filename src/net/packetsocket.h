/// The datagrams of callers' packets.
#pragma once

#include "net/packettraffic.h"

#include <flamingograde/address.h>
#include <flamingograde/packetdecision.h>
#include <flamingograde/packethead.h>

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct st_h2o_socket_t;

namespace flamingograde::net {

class Loop;

/// Reads packets in batches, has them decided and sends them on.
/// @remarks Not thread safe. Allocates nothing once it is open.
class PacketSocket
{
public:
    /// Decides on a batch: gets the heads, fills in one decision for each.
    using Steer =
            std::function<void(const std::vector<PacketHead> &, std::vector<PacketDecision> &)>;

    /// Binds; packets wait in the system until `start`.
    /// @param address where packets come in.
    /// @param callerPort where callers' hosts take packets.
    /// @returns the socket, or why it cannot be bound.
    [[nodiscard]] static auto open(Loop &loop, Address address, std::uint16_t callerPort,
                                   Steer steer)
            -> tl::expected<std::unique_ptr<PacketSocket>, std::string>;

    ~PacketSocket();
    PacketSocket(const PacketSocket &) = delete;
    auto operator=(const PacketSocket &) -> PacketSocket & = delete;

    /// Begins to read. Precondition: called once.
    auto start() -> void;

    /// Returns the address it is bound to. Precondition: none.
    [[nodiscard]] auto bound() const -> Address;
    /// Returns the counters. Precondition: none.
    [[nodiscard]] auto traffic() const -> const PacketTraffic & { return this->counters; }

private:
    struct Buffers;

    PacketSocket(Loop &loop, int fd, std::uint16_t port, Steer decide);
    auto readAll() -> void;
    auto readBatch() -> std::size_t;
    auto decode(std::size_t count) -> void;
    auto prepare() -> void;
    auto prepareForward(std::size_t packet, const PacketTarget &target) -> void;
    auto prepareReset(std::size_t packet) -> void;
    auto send() -> void;

    int descriptor;
    std::uint16_t callerPort;
    Steer steer;
    st_h2o_socket_t *socket;
    std::unique_ptr<Buffers> buffers;
    std::vector<PacketHead> heads;
    std::vector<std::size_t> places; ///< Of each head: the buffer of its packet.
    std::vector<PacketDecision> decisions;
    PacketTraffic counters;
};

} // namespace flamingograde::net
