/// What a caller's packets carry so that any host knows the upstream of their flow.
#pragma once

#include <flamingograde/ids.h>

#include <cstdint>
#include <functional>

namespace flamingograde {

/// The mark of an upstream's instance on the packets of its flows. The default value is "none".
///
/// Two instances may have the same cookie (one pair is expected among 110,000 random numbers): the
/// directory then gives it to the one that registered first.
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

    /// Returns whether this names an upstream. Precondition: none.
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
