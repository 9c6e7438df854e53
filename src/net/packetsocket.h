/// The UDP socket for callers' packets.
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

/// Reads packets in batches, requests a decision for each, and forwards or resets them.
/// @remarks Not thread safe. Does not allocate memory after `open`.
class PacketSocket
{
public:
    /// Called with the heads of a batch, and whether more datagrams may be waiting; fills in one
    /// decision per head.
    using Steer =
            std::function<void(std::vector<PacketHead> &, bool, std::vector<PacketDecision> &)>;

    /// Binds the socket; packets wait in the kernel buffer until `start`.
    /// @param address address on which packets are received.
    /// @param callerPort port on which callers' hosts receive packets.
    /// @returns the socket, or an error message.
    [[nodiscard]] static auto open(Loop &loop, Address address, std::uint16_t callerPort,
                                   Steer steer)
            -> tl::expected<std::unique_ptr<PacketSocket>, std::string>;

    ~PacketSocket();
    PacketSocket(const PacketSocket &) = delete;
    auto operator=(const PacketSocket &) -> PacketSocket & = delete;

    /// Starts reading. Precondition: called once.
    auto start() -> void;

    /// Returns the address that the socket is bound to. Precondition: none.
    [[nodiscard]] auto bound() const -> Address;
    /// Returns the traffic counters. Precondition: none.
    [[nodiscard]] auto traffic() const -> const PacketTraffic & { return this->counters; }

private:
    struct Buffers;

    PacketSocket(Loop &loop, int fd, std::uint16_t port, Steer decide);
    auto readAll() -> void;
    auto readBatch() -> std::size_t;
    auto decode(std::size_t count) -> void;
    auto prepareSends() -> void;
    auto prepareForward(std::size_t packet, const PacketTarget &target) -> void;
    auto prepareReset(std::size_t packet) -> void;
    auto send() -> void;

    int descriptor;
    std::uint16_t callerPort;
    Steer steer;
    st_h2o_socket_t *socket;
    std::unique_ptr<Buffers> buffers;
    std::vector<PacketHead> heads;
    /// For each head, the index of the buffer that holds its packet.
    std::vector<std::size_t> bufferIndexes;
    std::vector<PacketDecision> decisions;
    PacketTraffic counters;
};

} // namespace flamingograde::net
