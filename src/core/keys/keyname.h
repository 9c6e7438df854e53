/// The name under which a home remembers a key.
#pragma once

#include <flamingograde/ids.h>

#include <functional>
#include <string>
#include <utility>

namespace flamingograde {

/// An idempotency key in its cell. Two services may see the same key and mean two requests.
struct KeyName
{
    CellId cell;
    std::string key;

    friend auto operator==(const KeyName &a, const KeyName &b) -> bool
    {
        return a.cell == b.cell && a.key == b.key;
    }
};

} // namespace flamingograde

template<>
struct std::hash<flamingograde::KeyName>
{
    auto operator()(const flamingograde::KeyName &name) const noexcept -> std::size_t
    {
        constexpr std::size_t spread = 0x9E3779B97F4A7C15U;
        return std::hash<std::string> {}(name.key) ^ (name.cell.value() * spread);
    }
};
