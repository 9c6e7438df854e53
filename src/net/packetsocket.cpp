/// Reads and sends datagrams in batches.
#include "net/packetsocket.h"

#include "net/loop.h"
#include "net/socketaddress.h"
#include "platform/packetcodec.h"

#include <flamingograde/config.h>

#include <h2o.h>

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace flamingograde::net {

namespace {

/// Holds 800 full-size packets: 0.4 s of a host's share of the peak load.
constexpr int receiveBufferBytes = 1 << 20;
constexpr int batchesPerTurn = 8; ///< Keeps packets from starving other sockets.
constexpr std::size_t sendsMax = config::packetBatch * PacketDecision::targetsMax;
/// One byte more than the largest packet, so that longer datagrams are detected.
constexpr std::size_t bufferBytes = platform::packetBytesMax + 1;

/// Returns a bound descriptor, or -1 with `errno` set.
auto openDatagramSocket(Address address) -> int
{
    const auto fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    const auto name = toSockaddr(address);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) != 0) {
        const auto error = errno;
        close(fd);
        errno = error;
        return -1;
    }
    return fd;
}

} // namespace

/// Buffers and message headers for `recvmmsg` and `sendmmsg`.
struct PacketSocket::Buffers
{
    std::array<std::array<std::uint8_t, bufferBytes>, config::packetBatch> bytes;
    std::array<iovec, config::packetBatch> readVectors;
    std::array<mmsghdr, config::packetBatch> reads;

    std::array<platform::ForwardPrefix, sendsMax> prefixes;
    std::array<platform::ResetPacket, sendsMax> resets;
    std::array<std::array<iovec, 2>, sendsMax> sendVectors;
    std::array<sockaddr_in, sendsMax> targetNames;
    std::array<mmsghdr, sendsMax> sends;
    std::size_t sendCount = 0;

    Buffers()
    {
        for (std::size_t i = 0; i < config::packetBatch; ++i) {
            this->readVectors[i] = { this->bytes[i].data(), this->bytes[i].size() };
            this->reads[i] = {};
            this->reads[i].msg_hdr.msg_iov = &this->readVectors[i];
            this->reads[i].msg_hdr.msg_iovlen = 1;
        }
    }

    /// Appends a datagram to `target` and returns its I/O vectors for the caller to fill.
    auto add(Address target, std::size_t vectors) -> std::array<iovec, 2> &
    {
        const auto index = this->sendCount++;
        this->targetNames[index] = toSockaddr(target);
        auto &header = this->sends[index].msg_hdr;
        header = {};
        header.msg_name = &this->targetNames[index];
        header.msg_namelen = sizeof(sockaddr_in);
        header.msg_iov = this->sendVectors[index].data();
        header.msg_iovlen = vectors;
        return this->sendVectors[index];
    }
};

auto PacketSocket::open(Loop &loop, Address address, std::uint16_t callerPort, Steer steer)
        -> tl::expected<std::unique_ptr<PacketSocket>, std::string>
{
    const auto fd = openDatagramSocket(address);
    if (fd < 0) {
        return tl::unexpected("cannot receive packets on " + address.toString() + ": "
                              + std::strerror(errno));
    }
    return std::unique_ptr<PacketSocket>(new PacketSocket(loop, fd, callerPort, std::move(steer)));
}

PacketSocket::PacketSocket(Loop &loop, int fd, std::uint16_t port, Steer decide)
    : descriptor(fd), callerPort(port), steer(std::move(decide)),
      socket(h2o_evloop_socket_create(loop.raw(), fd, H2O_SOCKET_FLAG_DONT_READ)),
      buffers(std::make_unique<Buffers>())
{
    this->socket->data = this;
    this->heads.reserve(config::packetBatch);
    this->bufferIndexes.reserve(config::packetBatch);
    this->decisions.reserve(config::packetBatch);
}

PacketSocket::~PacketSocket()
{
    h2o_socket_read_stop(this->socket);
    h2o_socket_close(this->socket);
}

auto PacketSocket::start() -> void
{
    h2o_socket_read_start(this->socket, [](h2o_socket_t *self, const char * /*error*/) {
        static_cast<PacketSocket *>(self->data)->readAll();
    });
}

auto PacketSocket::bound() const -> Address
{
    return boundAddress(this->descriptor);
}

auto PacketSocket::readAll() -> void
{
    for (auto batch = 0; batch < batchesPerTurn; ++batch) {
        if (this->readBatch() < config::packetBatch) {
            return;
        }
    }
}

auto PacketSocket::readBatch() -> std::size_t
{
    const auto count = recvmmsg(this->descriptor, this->buffers->reads.data(), config::packetBatch,
                                MSG_DONTWAIT, nullptr);
    if (count <= 0) {
        return 0;
    }
    ++this->counters.batches;
    this->decode(static_cast<std::size_t>(count));
    const auto isFull = static_cast<std::size_t>(count) == config::packetBatch;
    this->steer(this->heads, isFull, this->decisions);
    this->prepareSends();
    this->send();
    return static_cast<std::size_t>(count);
}

auto PacketSocket::decode(std::size_t count) -> void
{
    this->heads.clear();
    this->bufferIndexes.clear();
    this->counters.received += count;
    for (std::size_t i = 0; i < count; ++i) {
        const auto head = platform::decodePacket(this->buffers->bytes[i].data(),
                                                 this->buffers->reads[i].msg_len);
        if (!head) {
            ++this->counters.malformed;
            continue;
        }
        this->heads.push_back(*head);
        this->bufferIndexes.push_back(i);
    }
}

auto PacketSocket::prepareSends() -> void
{
    this->buffers->sendCount = 0;
    for (std::size_t i = 0; i < this->decisions.size(); ++i) {
        const auto &decision = this->decisions[i];
        if (decision.verdict == PacketVerdict::Reset) {
            this->prepareReset(i);
        }
        for (std::size_t target = 0; target < decision.targetCount; ++target) {
            this->prepareForward(i, decision.targets[target]);
        }
    }
}

auto PacketSocket::prepareForward(std::size_t packet, const PacketTarget &target) -> void
{
    const auto bufferIndex = this->bufferIndexes[packet];
    auto *bytes = this->buffers->bytes[bufferIndex].data();
    const auto size = this->buffers->reads[bufferIndex].msg_len;
    auto &prefix = this->buffers->prefixes[this->buffers->sendCount];
    prefix = platform::makeForwardPrefix(bytes, target);
    auto &vectors = this->buffers->add(target.address, 2);
    vectors[0] = { prefix.data(), prefix.size() };
    vectors[1] = { bytes + platform::cookieEnd, size - platform::cookieEnd };
}

auto PacketSocket::prepareReset(std::size_t packet) -> void
{
    const auto &head = this->heads[packet];
    auto &reset = this->buffers->resets[this->buffers->sendCount];
    reset = platform::makeResetPacket(head);
    auto &vectors = this->buffers->add({ head.caller.ip, this->callerPort }, 1);
    vectors[0] = { reset.data(), reset.size() };
}

auto PacketSocket::send() -> void
{
    std::size_t done = 0;
    while (done < this->buffers->sendCount) {
        const auto left = static_cast<unsigned int>(this->buffers->sendCount - done);
        const auto sent = sendmmsg(this->descriptor, &this->buffers->sends[done], left, 0);
        if (sent > 0) {
            done += static_cast<std::size_t>(sent);
            this->counters.sent += static_cast<std::uint64_t>(sent);
            continue;
        }
        // The kernel rejected the first remaining datagram. Skip it: the endpoints recover from
        // lost datagrams.
        ++done;
        ++this->counters.unsent;
    }
}

} // namespace flamingograde::net
