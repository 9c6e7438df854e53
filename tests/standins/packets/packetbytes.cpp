#include "standins/packets/packetbytes.h"

#include <xxhash.h>

#include <algorithm>

namespace standins {

namespace {

using Bytes = std::vector<std::uint8_t>;

constexpr std::size_t headerSize = 36;
constexpr std::size_t instanceIdSize = 8;
constexpr std::size_t requestFieldsSize = 25;  ///< Request fields at the start of the data.
constexpr std::uint64_t checksumSeed = 0x5eed; ///< Hosts don't know it and can't forge a checksum.
constexpr std::uint8_t synBit = 1;
constexpr std::uint8_t returnedBit = 4;
constexpr std::uint8_t rstBit = 16;
constexpr std::uint8_t ackBit = 32;
constexpr std::uint8_t finBit = 128;

template<typename T>
auto appendLittleEndian(Bytes &bytes, T value) -> void
{
    for (std::size_t i = 0; i < sizeof(T); ++i) {
        bytes.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
    }
}

template<typename T>
auto readLittleEndian(const Bytes &bytes, std::size_t &position) -> T
{
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) {
        value |= static_cast<T>(static_cast<T>(bytes[position++]) << (8 * i));
    }
    return value;
}

/// Returns the checksum of a packet. It leaves out the checksum field, the cookie, the padding and
/// the `returned` flag, and is never 0.
auto checksumOf(const Bytes &bytes) -> std::uint32_t
{
    auto copy = bytes;
    std::fill_n(copy.begin() + 12, 8, std::uint8_t(0));
    std::fill_n(copy.begin() + 31, 5, std::uint8_t(0));
    copy[30] = static_cast<std::uint8_t>(copy[30] & ~returnedBit);
    const auto checksum = static_cast<std::uint32_t>(
            XXH3_64bits_withSeed(copy.data(), copy.size(), checksumSeed));
    return checksum == 0 ? 1 : checksum;
}

auto flagsOf(const FlowPacket &packet) -> std::uint8_t
{
    const auto &flags = packet.head.flags;
    return static_cast<std::uint8_t>((flags.opens ? synBit : 0) | (flags.acknowledges ? ackBit : 0)
                                     | (flags.finishes ? finBit : 0) | (flags.resets ? rstBit : 0));
}

auto serializePacket(const FlowPacket &packet, flamingograde::Address to,
                     flamingograde::Address from) -> Bytes
{
    Bytes bytes;
    bytes.reserve(headerSize + packet.head.dataBytes);
    appendLittleEndian<std::uint32_t>(bytes, to.ip);
    appendLittleEndian<std::uint16_t>(bytes, to.port);
    appendLittleEndian<std::uint32_t>(bytes, from.ip);
    appendLittleEndian<std::uint16_t>(bytes, from.port);
    appendLittleEndian<std::uint32_t>(bytes, 0);
    appendLittleEndian<std::uint32_t>(bytes, packet.head.cookie.value);
    appendLittleEndian<std::uint32_t>(bytes, packet.head.sequence);
    const auto opening = packet.head.flags.opens && !packet.head.flags.acknowledges;
    appendLittleEndian<std::uint32_t>(bytes, opening ? packet.head.retransmissions
                                                     : packet.head.acknowledged);
    appendLittleEndian<std::uint16_t>(bytes, packet.head.dataBytes);
    bytes.push_back(flagsOf(packet));
    bytes.resize(headerSize);
    Bytes data;
    appendLittleEndian<std::uint64_t>(data, packet.request);
    appendLittleEndian<std::uint32_t>(data, packet.bytesTotal);
    appendLittleEndian<std::uint64_t>(data, packet.work);
    appendLittleEndian<std::uint32_t>(data, packet.answerBytes);
    data.push_back(packet.shed ? 1 : 0);
    data.resize(packet.head.dataBytes, 0x5a);
    bytes.insert(bytes.end(), data.begin(), data.end());
    const auto checksum = checksumOf(bytes);
    for (std::size_t i = 0; i < sizeof(checksum); ++i) {
        bytes[12 + i] = static_cast<std::uint8_t>(checksum >> (8 * i));
    }
    return bytes;
}

/// Parses a packet, whose first address is `to`. Precondition: `bytes` holds at least a header.
auto parsePacket(const Bytes &bytes, flamingograde::Address &to, flamingograde::Address &from,
                 std::uint32_t &checksum) -> FlowPacket
{
    FlowPacket packet;
    std::size_t position = 0;
    to.ip = readLittleEndian<std::uint32_t>(bytes, position);
    to.port = readLittleEndian<std::uint16_t>(bytes, position);
    from.ip = readLittleEndian<std::uint32_t>(bytes, position);
    from.port = readLittleEndian<std::uint16_t>(bytes, position);
    checksum = readLittleEndian<std::uint32_t>(bytes, position);
    packet.head.cookie.value = readLittleEndian<std::uint32_t>(bytes, position);
    packet.head.sequence = readLittleEndian<std::uint32_t>(bytes, position);
    const auto copyOrAcknowledged = readLittleEndian<std::uint32_t>(bytes, position);
    packet.head.dataBytes = readLittleEndian<std::uint16_t>(bytes, position);
    const auto flags = bytes[position];
    packet.head.flags = { (flags & synBit) != 0, (flags & ackBit) != 0, (flags & finBit) != 0,
                          (flags & rstBit) != 0, (flags & returnedBit) != 0 };
    const auto opening = packet.head.flags.opens && !packet.head.flags.acknowledges;
    packet.head.retransmissions = opening ? copyOrAcknowledged : 0;
    packet.head.acknowledged = opening ? 0 : copyOrAcknowledged;
    if (packet.head.dataBytes >= requestFieldsSize
        && bytes.size() >= headerSize + requestFieldsSize) {
        position = headerSize;
        packet.request = readLittleEndian<std::uint64_t>(bytes, position);
        packet.bytesTotal = readLittleEndian<std::uint32_t>(bytes, position);
        packet.work = readLittleEndian<std::uint64_t>(bytes, position);
        packet.answerBytes = readLittleEndian<std::uint32_t>(bytes, position);
        packet.shed = bytes[position] != 0;
    }
    return packet;
}

} // namespace

auto serializeFromCaller(const FlowPacket &packet) -> Bytes
{
    return serializePacket(packet, packet.head.service, packet.head.caller);
}

auto serializeFromUpstream(const FlowPacket &packet) -> Bytes
{
    return serializePacket(packet, packet.head.caller, packet.head.service);
}

auto parseUpstreamPacket(const Bytes &bytes) -> std::optional<UpstreamPacket>
{
    if (bytes.size() < instanceIdSize + headerSize) {
        return std::nullopt;
    }
    std::uint64_t instance = 0;
    for (std::size_t i = 0; i < instanceIdSize; ++i) {
        instance = instance << 8U | bytes[i];
    }
    const Bytes inner(bytes.begin() + instanceIdSize, bytes.end());
    UpstreamPacket result;
    std::uint32_t checksum = 0;
    result.instance = flamingograde::InstanceId(instance);
    flamingograde::Address to;
    flamingograde::Address from;
    result.packet = parsePacket(inner, to, from, checksum);
    result.packet.head.service = to;
    result.packet.head.caller = from;
    result.intact = checksum == checksumOf(inner);
    return result;
}

auto parseCallerPacket(const Bytes &bytes) -> std::optional<CallerPacket>
{
    if (bytes.size() < headerSize) {
        return std::nullopt;
    }
    CallerPacket result;
    std::uint32_t checksum = 0;
    flamingograde::Address to;
    flamingograde::Address from;
    result.packet = parsePacket(bytes, to, from, checksum);
    result.packet.head.caller = to;
    result.packet.head.service = from;
    result.fromHost = result.packet.head.flags.resets && checksum == 0;
    result.intact = result.fromHost || checksum == checksumOf(bytes);
    return result;
}

} // namespace standins
