/// Encoding of flow tokens. Fields and their sizes in bytes: version (1), key id (1), service (8),
/// upstream (8) and flow (8), all big endian, then a 128-bit SipHash-2-4 authentication code over
/// all preceding bytes. The text form is base64url without padding.
#include "core/requests/token.h"

#include <sodium.h>

#include <algorithm>
#include <array>

namespace flamingograde {

namespace {

constexpr std::uint8_t tokenVersion = 1;
constexpr std::size_t idBytes = 8;
constexpr std::size_t serviceOffset = 2;
constexpr std::size_t upstreamOffset = serviceOffset + idBytes;
constexpr std::size_t flowOffset = upstreamOffset + idBytes;
constexpr std::size_t macOffset = flowOffset + idBytes;
constexpr std::size_t tokenBytes = macOffset + crypto_shorthash_siphashx24_BYTES;
constexpr int base64Variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;

static_assert(tokenBytes * 4 / 3 == tokenTextBytes);
static_assert(TokenKey::secretBytes == crypto_shorthash_siphashx24_KEYBYTES);

using TokenBytes = std::array<unsigned char, tokenBytes>;
using TokenMac = std::array<unsigned char, crypto_shorthash_siphashx24_BYTES>;

auto writeId(TokenBytes &bytes, std::size_t offset, std::uint64_t value) -> void
{
    for (std::size_t i = 0; i < idBytes; ++i) {
        bytes[offset + i] = static_cast<unsigned char>(value >> (8 * (idBytes - 1 - i)));
    }
}

auto readId(const TokenBytes &bytes, std::size_t offset) -> std::uint64_t
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < idBytes; ++i) {
        value = (value << 8U) | bytes[offset + i];
    }
    return value;
}

auto computeMac(const TokenBytes &bytes, const TokenKey &key) -> TokenMac
{
    TokenMac mac {};
    crypto_shorthash_siphashx24(mac.data(), bytes.data(), macOffset, key.secret.data());
    return mac;
}

constexpr std::string_view base64Alphabet =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::uint8_t invalidDigit = 0xff;

/// Returns a table from characters to base64url digit values; `invalidDigit` for other characters.
constexpr auto makeDigitTable() -> std::array<std::uint8_t, 256>
{
    std::array<std::uint8_t, 256> digitTable {};
    for (auto &digit : digitTable) {
        digit = invalidDigit;
    }
    for (std::size_t i = 0; i < base64Alphabet.size(); ++i) {
        digitTable[static_cast<unsigned char>(base64Alphabet[i])] = static_cast<std::uint8_t>(i);
    }
    return digitTable;
}

constexpr auto digitTable = makeDigitTable();

/// Decodes a token's text. Returns false for a wrong length or a character outside base64url.
///
/// libsodium's decoder is not used: its constant-time decoding has no benefit here and would be
/// most of the cost of verifying a token, and it accepts any byte above 0x7f as '_'.
auto decode(std::string_view text, TokenBytes &bytes) -> bool
{
    if (text.size() != tokenTextBytes) {
        return false;
    }
    std::uint8_t digitBits = 0;
    for (std::size_t from = 0, to = 0; to < tokenBytes; from += 4, to += 3) {
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < 4; ++i) {
            const auto digit = digitTable[static_cast<unsigned char>(text[from + i])];
            digitBits |= digit;
            group = (group << 6U) | (digit & 0x3fU);
        }
        bytes[to] = static_cast<unsigned char>(group >> 16U);
        bytes[to + 1] = static_cast<unsigned char>(group >> 8U);
        bytes[to + 2] = static_cast<unsigned char>(group);
    }
    return (digitBits & 0xc0U) == 0;
}

} // namespace

auto signToken(const FlowToken &token, const TokenKey &key) -> std::string
{
    TokenBytes bytes {};
    bytes[0] = tokenVersion;
    bytes[1] = key.id;
    writeId(bytes, serviceOffset, token.service.value());
    writeId(bytes, upstreamOffset, token.upstream.value());
    writeId(bytes, flowOffset, token.flow.value());
    const auto mac = computeMac(bytes, key);
    std::copy(mac.begin(), mac.end(), bytes.begin() + macOffset);
    std::array<char, tokenTextBytes + 1> text {};
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), base64Variant);
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
    const auto mac = computeMac(bytes, *key);
    if (sodium_memcmp(mac.data(), &bytes[macOffset], mac.size()) != 0) {
        return tl::unexpected(TokenFault::Forged);
    }
    return FlowToken { ServiceId(readId(bytes, serviceOffset)),
                       UpstreamId(readId(bytes, upstreamOffset)),
                       FlowId(readId(bytes, flowOffset)) };
}

auto signingKey(const std::vector<TokenKey> &keys) -> const TokenKey *
{
    const auto key =
            std::find_if(keys.begin(), keys.end(), [](const TokenKey &k) { return k.signing; });
    return key == keys.end() ? nullptr : &*key;
}

} // namespace flamingograde
