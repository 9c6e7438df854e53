/// Flow tokens. Layout in bytes: version 1, key id 1, service 8, upstream 8, flow 8 (all big
/// endian), then the SipHash-2-4 code of 128 bits over all before it; the text is base64url.
#include "core/requests/token.h"

#include <sodium.h>

#include <algorithm>
#include <array>

namespace flamingograde {

namespace {

constexpr std::uint8_t tokenVersion = 1;
constexpr std::size_t idBytes = 8;
constexpr std::size_t serviceAt = 2;
constexpr std::size_t upstreamAt = serviceAt + idBytes;
constexpr std::size_t flowAt = upstreamAt + idBytes;
constexpr std::size_t codeAt = flowAt + idBytes;
constexpr std::size_t tokenBytes = codeAt + crypto_shorthash_siphashx24_BYTES;
constexpr int textVariant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;

static_assert(tokenBytes * 4 / 3 == tokenTextBytes);
static_assert(TokenKey::secretBytes == crypto_shorthash_siphashx24_KEYBYTES);

using TokenBytes = std::array<unsigned char, tokenBytes>;
using TokenCode = std::array<unsigned char, crypto_shorthash_siphashx24_BYTES>;

auto store(TokenBytes &bytes, std::size_t at, std::uint64_t value) -> void
{
    for (std::size_t i = 0; i < idBytes; ++i) {
        bytes[at + i] = static_cast<unsigned char>(value >> (8 * (idBytes - 1 - i)));
    }
}

auto load(const TokenBytes &bytes, std::size_t at) -> std::uint64_t
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < idBytes; ++i) {
        value = (value << 8U) | bytes[at + i];
    }
    return value;
}

auto codeOf(const TokenBytes &bytes, const TokenKey &key) -> TokenCode
{
    TokenCode code {};
    crypto_shorthash_siphashx24(code.data(), bytes.data(), codeAt, key.secret.data());
    return code;
}

constexpr std::string_view alphabet =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::uint8_t noDigit = 0xff;

/// Returns the value of each character as a digit of base64url.
constexpr auto makeDigits() -> std::array<std::uint8_t, 256>
{
    std::array<std::uint8_t, 256> digits {};
    for (auto &digit : digits) {
        digit = noDigit;
    }
    for (std::size_t i = 0; i < alphabet.size(); ++i) {
        digits[static_cast<unsigned char>(alphabet[i])] = static_cast<std::uint8_t>(i);
    }
    return digits;
}

constexpr auto digits = makeDigits();

/// Reads a token's text. libsodium's decoder takes constant time, which is of no use here and most
/// of the cost of a check, and takes any byte above 0x7f for a '_'.
auto decode(std::string_view text, TokenBytes &bytes) -> bool
{
    if (text.size() != tokenTextBytes) {
        return false;
    }
    std::uint8_t invalid = 0;
    for (std::size_t from = 0, to = 0; to < tokenBytes; from += 4, to += 3) {
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < 4; ++i) {
            const auto digit = digits[static_cast<unsigned char>(text[from + i])];
            invalid |= digit;
            group = (group << 6U) | (digit & 0x3fU);
        }
        bytes[to] = static_cast<unsigned char>(group >> 16U);
        bytes[to + 1] = static_cast<unsigned char>(group >> 8U);
        bytes[to + 2] = static_cast<unsigned char>(group);
    }
    return (invalid & 0xc0U) == 0;
}

} // namespace

auto signToken(const FlowToken &token, const TokenKey &key) -> std::string
{
    TokenBytes bytes {};
    bytes[0] = tokenVersion;
    bytes[1] = key.id;
    store(bytes, serviceAt, token.service.value());
    store(bytes, upstreamAt, token.upstream.value());
    store(bytes, flowAt, token.flow.value());
    const auto code = codeOf(bytes, key);
    std::copy(code.begin(), code.end(), bytes.begin() + codeAt);
    std::array<char, tokenTextBytes + 1> text {};
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), textVariant);
    return { text.data(), tokenTextBytes };
}

auto verifyToken(std::string_view text, const std::vector<TokenKey> &keys)
        -> tl::expected<FlowToken, TokenFault>
{
    TokenBytes bytes {};
    if (!decode(text, bytes) || bytes[0] != tokenVersion) {
        return tl::unexpected(TokenFault::Malformed);
    }
    const auto key = std::find_if(keys.begin(), keys.end(),
                                  [&](const TokenKey &k) { return k.id == bytes[1]; });
    if (key == keys.end()) {
        return tl::unexpected(TokenFault::UnknownKey);
    }
    const auto code = codeOf(bytes, *key);
    if (sodium_memcmp(code.data(), &bytes[codeAt], code.size()) != 0) {
        return tl::unexpected(TokenFault::Forged);
    }
    return FlowToken { ServiceId(load(bytes, serviceAt)), UpstreamId(load(bytes, upstreamAt)),
                       FlowId(load(bytes, flowAt)) };
}

auto signingKey(const std::vector<TokenKey> &keys) -> const TokenKey *
{
    const auto key =
            std::find_if(keys.begin(), keys.end(), [](const TokenKey &k) { return k.signing; });
    return key == keys.end() ? nullptr : &*key;
}

} // namespace flamingograde
