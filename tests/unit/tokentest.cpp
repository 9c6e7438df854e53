/// Tests which flow tokens are accepted and which are rejected.
#include "core/requests/token.h"

#include <catch2/catch.hpp>

#include <random>

using namespace flamingograde;

namespace {

auto keyOf(std::uint8_t id, std::uint8_t fill, bool signing) -> TokenKey
{
    TokenKey key;
    key.id = id;
    key.secret.fill(fill);
    key.signing = signing;
    return key;
}

const FlowToken sample { ServiceId::ofName("packs"), UpstreamId::ofName("pa1"), FlowId(77) };

} // namespace

TEST_CASE("verifying a signed token returns its content")
{
    const auto key = keyOf(1, 0xab, true);
    const auto text = signToken(sample, key);
    CHECK(text.size() == tokenTextBytes);
    const auto verified = verifyToken(text, { key });
    REQUIRE(verified);
    CHECK(verified->service == sample.service);
    CHECK(verified->upstream == sample.upstream);
    CHECK(verified->flow == sample.flow);
}

TEST_CASE("a token with any character changed is rejected")
{
    const auto key = keyOf(1, 0xab, true);
    const auto text = signToken(sample, key);
    for (std::size_t at = 0; at < text.size(); ++at) {
        for (const auto c : std::string("Aa0-_ =\xff")) {
            auto forged = text;
            forged[at] = c;
            if (forged != text) {
                CHECK_FALSE(verifyToken(forged, { key }));
            }
        }
    }
}

TEST_CASE("malformed tokens are rejected")
{
    const auto key = keyOf(1, 0xab, true);
    const auto text = signToken(sample, key);
    for (const auto &bad : { std::string(), text.substr(1), text + "A", std::string(56, 'A'),
                             std::string(56, '\0'), std::string(100000, 'x') }) {
        const auto verified = verifyToken(bad, { key });
        REQUIRE_FALSE(verified);
        CHECK(verified.error() == TokenFault::Malformed);
    }
    std::mt19937_64 random(5);
    for (int i = 0; i < 2000; ++i) {
        std::string bytes(tokenTextBytes, ' ');
        for (auto &c : bytes) {
            c = static_cast<char>(random());
        }
        CHECK_FALSE(verifyToken(bytes, { key }));
    }
}

TEST_CASE("a token is valid through a key rotation until its key is removed")
{
    const auto oldKey = keyOf(1, 0xab, true);
    const auto newKey = keyOf(2, 0xcd, true);
    const auto verifyOnly = keyOf(1, 0xab, false);
    const auto text = signToken(sample, oldKey);
    CHECK(verifyToken(text, { oldKey, keyOf(2, 0xcd, false) }));
    CHECK(verifyToken(text, { verifyOnly, newKey }));
    CHECK(signingKey({ verifyOnly, newKey })->id == 2);
    const auto unknown = verifyToken(text, { newKey });
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error() == TokenFault::UnknownKey);
    const auto forged = verifyToken(text, { keyOf(1, 0xee, true) });
    REQUIRE_FALSE(forged);
    CHECK(forged.error() == TokenFault::Forged);
}
