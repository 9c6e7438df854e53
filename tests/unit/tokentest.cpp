/// Flow tokens: what is accepted and what is not.
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

TEST_CASE("a token comes back as it was signed")
{
    const auto key = keyOf(1, 0xab, true);
    const auto text = signToken(sample, key);
    CHECK(text.size() == tokenTextBytes);
    const auto read = verifyToken(text, { key });
    REQUIRE(read);
    CHECK(read->service == sample.service);
    CHECK(read->upstream == sample.upstream);
    CHECK(read->flow == sample.flow);
}

TEST_CASE("each changed character of a token is noticed")
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

TEST_CASE("malformed tokens are refused")
{
    const auto key = keyOf(1, 0xab, true);
    const auto text = signToken(sample, key);
    for (const auto &bad : { std::string(), text.substr(1), text + "A", std::string(56, 'A'),
                             std::string(56, '\0'), std::string(100000, 'x') }) {
        const auto read = verifyToken(bad, { key });
        REQUIRE_FALSE(read);
        CHECK(read.error() == TokenFault::Malformed);
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

TEST_CASE("tokens live through a change of keys and end with their key")
{
    const auto old = keyOf(1, 0xab, true);
    const auto next = keyOf(2, 0xcd, true);
    const auto retired = keyOf(1, 0xab, false);
    const auto text = signToken(sample, old);
    CHECK(verifyToken(text, { old, keyOf(2, 0xcd, false) }));
    CHECK(verifyToken(text, { retired, next }));
    CHECK(signingKey({ retired, next })->id == 2);
    const auto gone = verifyToken(text, { next });
    REQUIRE_FALSE(gone);
    CHECK(gone.error() == TokenFault::UnknownKey);
    const auto forged = verifyToken(text, { keyOf(1, 0xee, true) });
    REQUIRE_FALSE(forged);
    CHECK(forged.error() == TokenFault::Forged);
}
