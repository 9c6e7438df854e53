/// Packet decoding and encoding, and rejection of invalid packets.
#include "platform/packetcodec.h"

#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace flamingograde;
using namespace flamingograde::platform;

namespace {

constexpr std::uint64_t fuzzSeed = 20261202;
constexpr int fuzzInputs = 200000;

/// Returns an opening packet from 100.64.0.9:1025 to 198.18.0.3:8080 with sequence 0x01020304, sent
/// twice before.
auto opening() -> std::vector<std::uint8_t>
{
    std::vector<std::uint8_t> bytes { 0x03, 0x00, 0x12, 0xc6, 0x90, 0x1f, 0x09, 0x00,
                                      0x40, 0x64, 0x01, 0x04, 0xaa, 0xbb, 0xcc, 0xdd,
                                      0,    0,    0,    0,    0x04, 0x03, 0x02, 0x01,
                                      0x02, 0,    0,    0,    0,    0,    0x01 };
    bytes.resize(headerBytes);
    return bytes;
}

auto withPayload(std::vector<std::uint8_t> bytes, std::size_t size) -> std::vector<std::uint8_t>
{
    bytes.resize(headerBytes + size, 0x5a);
    bytes[28] = static_cast<std::uint8_t>(size);
    bytes[29] = static_cast<std::uint8_t>(size >> 8U);
    return bytes;
}

auto faultOf(const std::vector<std::uint8_t> &bytes) -> PacketFault
{
    const auto head = decodePacket(bytes.data(), bytes.size());
    REQUIRE_FALSE(head);
    return head.error();
}

} // namespace

TEST_CASE("the header of an opening packet is decoded", "[codec]")
{
    const auto bytes = opening();
    const auto head = decodePacket(bytes.data(), bytes.size());
    REQUIRE(head);
    CHECK(head->service == *Address::parse("198.18.0.3:8080"));
    CHECK(head->caller == *Address::parse("100.64.0.9:1025"));
    CHECK(head->sequence == 0x01020304);
    CHECK(head->flags.opens);
    CHECK_FALSE(head->flags.acknowledges);
    CHECK(head->retransmissions == 2);
    CHECK(head->acknowledged == 0);
    CHECK_FALSE(head->cookie.isValid());
    CHECK(head->dataBytes == 0);
}

TEST_CASE("cookie, acknowledgement and flags of a later packet are decoded", "[codec]")
{
    auto bytes = withPayload(opening(), 1200);
    bytes[16] = 0x78;
    bytes[19] = 0x12;
    bytes[30] = 32 | 128 | 16 | 4;
    const auto head = decodePacket(bytes.data(), bytes.size());
    REQUIRE(head);
    CHECK(head->cookie.value == 0x12000078);
    CHECK(head->acknowledged == 2);
    CHECK(head->retransmissions == 0);
    CHECK(head->dataBytes == 1200);
    CHECK(head->flags.acknowledges);
    CHECK(head->flags.finishes);
    CHECK(head->flags.resets);
    CHECK(head->flags.returned);
    CHECK_FALSE(head->flags.opens);
}

TEST_CASE("packets that are too short, too long or of another length than declared are rejected",
          "[codec]")
{
    auto bytes = opening();
    bytes.pop_back();
    CHECK(faultOf(bytes) == PacketFault::TooShort);
    CHECK(faultOf({}) == PacketFault::TooShort);
    CHECK(faultOf(withPayload(opening(), 1201)) == PacketFault::TooLong);
    auto mismatched = withPayload(opening(), 10);
    mismatched[28] = 9;
    CHECK(faultOf(mismatched) == PacketFault::LengthMismatch);
}

TEST_CASE("the forward prefix holds the instance ID and a header with only the cookie replaced",
          "[codec]")
{
    const auto bytes = withPayload(opening(), 300);
    PacketTarget target;
    target.instance = InstanceId(0x3aaee8c3fa);
    target.cookie = Cookie { 0xaee8c3c0 };
    const auto prefix = makeForwardPrefix(bytes.data(), target);
    const std::vector<std::uint8_t> instance { 0, 0, 0, 0x3a, 0xae, 0xe8, 0xc3, 0xfa };
    CHECK(std::vector<std::uint8_t>(prefix.begin(), prefix.begin() + instanceBytes) == instance);
    for (std::size_t i = 0; i < cookieEnd; ++i) {
        if (i < 16) {
            CHECK(prefix[instanceBytes + i] == bytes[i]);
        }
    }
    std::vector<std::uint8_t> sent(prefix.begin() + instanceBytes, prefix.end());
    sent.insert(sent.end(), bytes.begin() + cookieEnd, bytes.end());
    const auto head = decodePacket(sent.data(), sent.size());
    REQUIRE(head);
    CHECK(head->cookie == target.cookie);
    CHECK(sent.size() == bytes.size());
}

TEST_CASE("a reset packet swaps the addresses and sets only the sequence and the reset flag",
          "[codec]")
{
    PacketHead head;
    head.service = *Address::parse("198.18.0.3:8080");
    head.caller = *Address::parse("100.64.0.9:1025");
    head.acknowledged = 0x0a0b0c0d;
    const auto reset = makeResetPacket(head);
    const ResetPacket expected { 0x09, 0x00, 0x40, 0x64, 0x01, 0x04, 0x03, 0x00, 0x12, 0xc6, 0x90,
                                 0x1f, 0,    0,    0,    0,    0,    0,    0,    0,    0x0d, 0x0c,
                                 0x0b, 0x0a, 0,    0,    0,    0,    0,    0,    16 };
    CHECK(reset == expected);
}

TEST_CASE("random bytes are decoded with their true length or rejected", "[codec]")
{
    std::mt19937_64 random(fuzzSeed);
    int decodedCount = 0;
    for (int i = 0; i < fuzzInputs; ++i) {
        std::vector<std::uint8_t> bytes(random() % 1300);
        for (auto &byte : bytes) {
            byte = static_cast<std::uint8_t>(random());
        }
        // Three of 4 inputs declare their true length, so that the remaining decoding is reached
        // too.
        if (bytes.size() >= headerBytes && random() % 4 != 0) {
            const auto size = bytes.size() - headerBytes;
            bytes[28] = static_cast<std::uint8_t>(size);
            bytes[29] = static_cast<std::uint8_t>(size >> 8U);
        }
        const auto head = decodePacket(bytes.data(), bytes.size());
        if (head) {
            ++decodedCount;
            REQUIRE(head->dataBytes + headerBytes == bytes.size());
            REQUIRE((!head->flags.opens || head->acknowledged == 0));
        }
    }
    CHECK(decodedCount > fuzzInputs / 2);
}
