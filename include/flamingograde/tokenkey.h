/// A key under which flow tokens are signed.
#pragma once

#include <array>
#include <cstdint>

namespace flamingograde {

/// A published key. Every key of the table verifies; the one marked `signing` also signs.
struct TokenKey
{
    static constexpr std::size_t secretBytes = 16;

    std::uint8_t id = 0;                             ///< Carried in the token.
    std::array<std::uint8_t, secretBytes> secret {}; ///< Shared by all hosts.
    bool signing = false;                            ///< Exactly one key of a table signs.
};

} // namespace flamingograde
