#include "standins/packets/packetbytes.h"

#include <xxhash.h>

#include <algorithm>

namespace standins {

namespace {

using Bytes = std::vector<std::uint8_t>;

constexpr std::size_t headSize = 36;
constexpr std::size_t instanceSize = 8;
constexpr std::size_t noteSize = 25;     ///< What the first bytes of data say.
constexpr std::uint64_t sumKey = 0x5eed; ///< Known to the two ends only.
constexpr std::uint8_t syn = 1;
constexpr std::uint8_t bounced = 4;
constexpr std::uint8_t rst = 16;
constexpr std::uint8_t ack = 32;
constexpr std::uint8_t fin = 128;

template<typename T>
auto append(Bytes &bytes, T value) -> void
{
    for (std::size_t i = 0; i < sizeof(T); ++i) {
        bytes.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
    }
}

template<typename T>
auto take(const Bytes &bytes, std::size_t &at) -> T
{
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) {
        value |= static_cast<T>(static_cast<T>(bytes[at++]) << (8 * i));
    }
    return value;
}

/// Returns the sum over all but the sum itself, the cookie, the pad and the mark of a return.
auto sumOf(const Bytes &bytes) -> std::uint32_t
{
    auto copy = bytes;
    std::fill_n(copy.begin() + 12, 8, std::uint8_t(0));
    std::fill_n(copy.begin() + 31, 5, std::uint8_t(0));
    copy[30] = static_cast<std::uint8_t>(copy[30] & ~bounced);
    const auto sum =
            static_cast<std::uint32_t>(XXH3_64bits_withSeed(copy.data(), copy.size(), sumKey));
    return sum == 0 ? 1 : sum;
}

auto flagsOf(const FlowPacket &packet) -> std::uint8_t
{
    const auto &flags = packet.head.flags;
    return static_cast<std::uint8_t>((flags.opens ? syn : 0) | (flags.acknowledges ? ack : 0)
                                     | (flags.finishes ? fin : 0) | (flags.resets ? rst : 0));
}

auto write(const FlowPacket &packet, flamingograde::Address to, flamingograde::Address from)
        -> Bytes
{
    Bytes bytes;
    bytes.reserve(headSize + packet.head.dataBytes);
    append<std::uint32_t>(bytes, to.ip);
    append<std::uint16_t>(bytes, to.port);
    append<std::uint32_t>(bytes, from.ip);
    append<std::uint16_t>(bytes, from.port);
    append<std::uint32_t>(bytes, 0);
    append<std::uint32_t>(bytes, packet.head.cookie.value);
    append<std::uint32_t>(bytes, packet.head.sequence);
    const auto opening = packet.head.flags.opens && !packet.head.flags.acknowledges;
    append<std::uint32_t>(bytes, opening ? packet.head.copy : packet.head.acknowledged);
    append<std::uint16_t>(bytes, packet.head.dataBytes);
    bytes.push_back(flagsOf(packet));
    bytes.resize(headSize);
    Bytes data;
    append<std::uint64_t>(data, packet.request);
    append<std::uint32_t>(data, packet.bytesTotal);
    append<std::uint64_t>(data, packet.work);
    append<std::uint32_t>(data, packet.answerBytes);
    data.push_back(packet.shed ? 1 : 0);
    data.resize(packet.head.dataBytes, 0x5a);
    bytes.insert(bytes.end(), data.begin(), data.end());
    const auto sum = sumOf(bytes);
    for (std::size_t i = 0; i < sizeof(sum); ++i) {
        bytes[12 + i] = static_cast<std::uint8_t>(sum >> (8 * i));
    }
    return bytes;
}

/// Reads a packet whose first address is `to`. Precondition: it has a head.
auto read(const Bytes &bytes, flamingograde::Address &to, flamingograde::Address &from,
          std::uint32_t &sum) -> FlowPacket
{
    FlowPacket packet;
    std::size_t at = 0;
    to.ip = take<std::uint32_t>(bytes, at);
    to.port = take<std::uint16_t>(bytes, at);
    from.ip = take<std::uint32_t>(bytes, at);
    from.port = take<std::uint16_t>(bytes, at);
    sum = take<std::uint32_t>(bytes, at);
    packet.head.cookie.value = take<std::uint32_t>(bytes, at);
    packet.head.sequence = take<std::uint32_t>(bytes, at);
    const auto field = take<std::uint32_t>(bytes, at);
    packet.head.dataBytes = take<std::uint16_t>(bytes, at);
    const auto flags = bytes[at];
    packet.head.flags = { (flags & syn) != 0, (flags & ack) != 0, (flags & fin) != 0,
                          (flags & rst) != 0, (flags & bounced) != 0 };
    const auto opening = packet.head.flags.opens && !packet.head.flags.acknowledges;
    packet.head.copy = opening ? field : 0;
    packet.head.acknowledged = opening ? 0 : field;
    if (packet.head.dataBytes >= noteSize && bytes.size() >= headSize + noteSize) {
        at = headSize;
        packet.request = take<std::uint64_t>(bytes, at);
        packet.bytesTotal = take<std::uint32_t>(bytes, at);
        packet.work = take<std::uint64_t>(bytes, at);
        packet.answerBytes = take<std::uint32_t>(bytes, at);
        packet.shed = bytes[at] != 0;
    }
    return packet;
}

} // namespace

auto callerBytes(const FlowPacket &packet) -> Bytes
{
    return write(packet, packet.head.service, packet.head.caller);
}

auto upstreamBytes(const FlowPacket &packet) -> Bytes
{
    return write(packet, packet.head.caller, packet.head.service);
}

auto readIntended(const Bytes &bytes) -> std::optional<IntendedPacket>
{
    if (bytes.size() < instanceSize + headSize) {
        return std::nullopt;
    }
    std::uint64_t instance = 0;
    for (std::size_t i = 0; i < instanceSize; ++i) {
        instance = instance << 8U | bytes[i];
    }
    const Bytes inner(bytes.begin() + instanceSize, bytes.end());
    IntendedPacket result;
    std::uint32_t sum = 0;
    result.instance = flamingograde::InstanceId(instance);
    flamingograde::Address to;
    flamingograde::Address from;
    result.packet = read(inner, to, from, sum);
    result.packet.head.service = to;
    result.packet.head.caller = from;
    result.intact = sum == sumOf(inner);
    return result;
}

auto readReturned(const Bytes &bytes) -> std::optional<ReturnedPacket>
{
    if (bytes.size() < headSize) {
        return std::nullopt;
    }
    ReturnedPacket result;
    std::uint32_t sum = 0;
    flamingograde::Address to;
    flamingograde::Address from;
    result.packet = read(bytes, to, from, sum);
    result.packet.head.caller = to;
    result.packet.head.service = from;
    result.fromHost = result.packet.head.flags.resets && sum == 0;
    result.intact = result.fromHost || sum == sumOf(bytes);
    return result;
}

} // namespace standins
