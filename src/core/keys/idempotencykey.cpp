/// Parses and creates idempotency keys.
#include "core/keys/idempotencykey.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace flamingograde {

namespace {

constexpr std::size_t uuidLength = 36;
constexpr std::size_t versionPosition = 14;
constexpr std::size_t variantPosition = 19;
constexpr std::array<std::size_t, 4> dashPositions { 8, 13, 18, 23 };
constexpr std::uint64_t versionBits = 0x7000;
constexpr std::uint64_t variantBits = 0x8000;

auto isDashPosition(std::size_t position) -> bool
{
    return std::find(dashPositions.begin(), dashPositions.end(), position) != dashPositions.end();
}

/// Returns the value of a hexadecimal digit; -1 for any other character.
auto hexDigit(char c) -> int
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

auto isUuidV7(std::string_view text) -> bool
{
    if (text.size() != uuidLength || text[versionPosition] != '7') {
        return false;
    }
    if (hexDigit(text[variantPosition]) >> 2 != 2) {
        return false;
    }
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (isDashPosition(i) ? text[i] != '-' : hexDigit(text[i]) < 0) {
            return false;
        }
    }
    return true;
}

/// Returns the part of a key that may be a UUID: what follows the last dot, or the whole key if it
/// has no dot.
auto uuidPartOf(std::string_view key) -> std::string_view
{
    const auto dot = key.rfind('.');
    return dot == std::string_view::npos ? key : key.substr(dot + 1);
}

} // namespace

auto isWellFormedKey(std::string_view key) -> bool
{
    const auto isVisible = [](char c) { return c > ' ' && c < 0x7f; };
    return key.size() <= config::keyBytesMax && std::all_of(key.begin(), key.end(), isVisible);
}

auto keyCreationTime(std::string_view key) -> std::optional<WallTime>
{
    const auto uuid = uuidPartOf(key);
    if (!isUuidV7(uuid)) {
        return std::nullopt;
    }
    std::int64_t milliseconds = 0;
    for (std::size_t i = 0; i < versionPosition; ++i) {
        if (!isDashPosition(i)) {
            milliseconds = milliseconds * 16 + hexDigit(uuid[i]);
        }
    }
    return WallTime(std::chrono::milliseconds(milliseconds));
}

auto keyZoneNameOf(std::string_view key) -> std::string_view
{
    const auto uuid = uuidPartOf(key);
    if (uuid.size() == key.size() || !isUuidV7(uuid)) {
        return {};
    }
    return key.substr(0, key.size() - uuid.size() - 1);
}

auto keyInZone(const std::string &zoneName, std::string_view key) -> std::string
{
    return zoneName + '.' + std::string(uuidPartOf(key));
}

auto makeUuidV7(std::mt19937_64 &random, WallTime wall) -> std::string
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto ms = static_cast<std::uint64_t>(
            duration_cast<milliseconds>(wall.time_since_epoch()).count());
    const auto high = random();
    const auto low = random();
    std::array<char, uuidLength + 1> text {};
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-%04llx-%04llx-%012llx",
                  static_cast<unsigned long long>((ms >> 16U) & 0xffffffffU),
                  static_cast<unsigned long long>(ms & 0xffffU),
                  static_cast<unsigned long long>(versionBits | (high & 0x0fffU)),
                  static_cast<unsigned long long>(variantBits | ((high >> 16U) & 0x3fffU)),
                  static_cast<unsigned long long>(low & 0xffffffffffffU));
    return { text.data(), uuidLength };
}

} // namespace flamingograde
