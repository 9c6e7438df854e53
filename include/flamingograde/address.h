/// IPv4 socket address.
#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace flamingograde {

/// An IPv4 address and a port, both in host byte order. The default value is invalid.
struct Address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    /// Parses text such as "10.0.0.1:80".
    /// @returns the address, or a description of the error in the text.
    /// @remarks Thread safe.
    [[nodiscard]] static auto parse(std::string_view text) -> tl::expected<Address, std::string>;

    /// Returns whether the IP address is set.
    [[nodiscard]] constexpr auto isValid() const -> bool { return this->ip != 0; }

    /// Returns the IP address without the port, such as "10.0.0.1".
    [[nodiscard]] auto ipText() const -> std::string;

    /// Returns the address in the form that `parse` reads.
    [[nodiscard]] auto toString() const -> std::string;

    friend constexpr auto operator==(Address a, Address b) -> bool
    {
        return a.ip == b.ip && a.port == b.port;
    }
    friend constexpr auto operator!=(Address a, Address b) -> bool { return !(a == b); }
    friend constexpr auto operator<(Address a, Address b) -> bool
    {
        return a.ip != b.ip ? a.ip < b.ip : a.port < b.port;
    }
};

} // namespace flamingograde

template<>
struct std::hash<flamingograde::Address>
{
    auto operator()(flamingograde::Address address) const noexcept -> std::size_t
    {
        return (static_cast<std::size_t>(address.ip) << 16U) | address.port;
    }
};
