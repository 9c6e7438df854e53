/// Key for signing flow tokens.
#pragma once

#include <array>
#include <cstdint>

namespace flamingograde {

/// A published key. All keys of the table verify tokens; the one marked `signing` also signs them.
struct TokenKey
{
    static constexpr std::size_t secretBytes = 16;

    std::uint8_t id = 0;                             ///< Identifies the key in tokens.
    std::array<std::uint8_t, secretBytes> secret {}; ///< Shared by all hosts.
    bool signing = false;                            ///< True for exactly one key of a table.
};

} // namespace flamingograde
