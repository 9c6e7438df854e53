/// Parses and formats IPv4 addresses with a port.
#include <flamingograde/address.h>

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <optional>

namespace flamingograde {

namespace {

auto parsePort(std::string_view text) -> std::optional<std::uint16_t>
{
    std::uint16_t port = 0;
    const auto *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, port);
    if (text.empty() || error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return port;
}

auto parseIp(std::string_view text) -> std::optional<std::uint32_t>
{
    in_addr binary {};
    if (inet_pton(AF_INET, std::string(text).c_str(), &binary) != 1) {
        return std::nullopt;
    }
    return ntohl(binary.s_addr);
}

} // namespace

auto Address::parse(std::string_view text) -> tl::expected<Address, std::string>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return tl::unexpected(std::string("has no port"));
    }
    const auto ip = parseIp(text.substr(0, colon));
    if (!ip) {
        return tl::unexpected(std::string("has no IPv4 address before its port"));
    }
    const auto port = parsePort(text.substr(colon + 1));
    if (!port) {
        return tl::unexpected(std::string("has no port from 0 to 65535"));
    }
    if (*ip == 0) {
        return tl::unexpected(
                std::string("has the IPv4 address 0.0.0.0, which identifies no host"));
    }
    return Address { *ip, *port };
}

auto Address::ipText() const -> std::string
{
    std::array<char, INET_ADDRSTRLEN> text {};
    const in_addr binary { htonl(this->ip) };
    inet_ntop(AF_INET, &binary, text.data(), text.size());
    return text.data();
}

auto Address::toString() const -> std::string
{
    return this->ipText() + ":" + std::to_string(this->port);
}

} // namespace flamingograde
