/// Cookie in a caller's packets by which any host finds the upstream of their flow.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/ids.h>

#include <cstdint>
#include <functional>

namespace flamingograde {

/// Identifies an upstream's instance in the packets of its flows. The default value is "none".
///
/// Packets carry it bound to the service address that the caller uses. Unbound with another address
/// it gives a random number, which identifies one of 110,000 upstreams by chance in 1 of 39,000
/// cases: a cookie that identifies an upstream therefore shows that its flow was opened at this
/// address. It is not secret: a caller that knows instance numbers can forge one, but only for its
/// own packets, and the upstream resets them as it has no such flow.
///
/// Two instances may have the same cookie (one pair is expected among 110,000 random numbers): the
/// directory then assigns it to the instance that registered first.
/// @remarks Thread safe for readers.
struct Cookie
{
    std::uint32_t value = 0;

    /// Returns the cookie of `instance`, the same on every host; never "none".
    /// Precondition: `instance` is valid.
    [[nodiscard]] static constexpr auto of(InstanceId instance) -> Cookie
    {
        constexpr auto halfBits = 32U;
        const auto folded = static_cast<std::uint32_t>(instance.value() >> halfBits)
                            ^ static_cast<std::uint32_t>(instance.value());
        return { folded == 0 ? 1U : folded };
    }

    /// Returns the cookie as packets to `service` carry it; applied to that one, the original
    /// cookie. Precondition: none.
    [[nodiscard]] constexpr auto bound(Address service) const -> Cookie
    {
        constexpr auto portBits = 16U;
        constexpr auto shift = 32U;
        constexpr std::uint64_t first = 0x9e3779b97f4a7c15;  // The golden ratio.
        constexpr std::uint64_t second = 0xbf58476d1ce4e5b9; // A multiplier of splitmix64.
        auto mixed = ((static_cast<std::uint64_t>(service.ip) << portBits) | service.port) * first;
        mixed = (mixed ^ (mixed >> shift)) * second;
        return { this->value ^ static_cast<std::uint32_t>(mixed >> shift) };
    }

    /// Returns whether this identifies an upstream, that is, is not "none". Precondition: none.
    [[nodiscard]] constexpr auto isValid() const -> bool { return this->value != 0; }

    friend constexpr auto operator==(Cookie a, Cookie b) -> bool { return a.value == b.value; }
    friend constexpr auto operator!=(Cookie a, Cookie b) -> bool { return a.value != b.value; }
};

} // namespace flamingograde

template<>
struct std::hash<flamingograde::Cookie>
{
    auto operator()(flamingograde::Cookie cookie) const noexcept -> std::size_t
    {
        return cookie.value;
    }
};
