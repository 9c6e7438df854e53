/// An idempotency key qualified by its cell: the lookup key of `KeyRegistry`.
#pragma once

#include <flamingograde/ids.h>

#include <functional>
#include <string>
#include <utility>

namespace flamingograde {

/// An idempotency key and its cell. The cell is part of the name because two services may receive
/// the same key for two different requests.
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
        constexpr std::size_t goldenRatio = 0x9E3779B97F4A7C15U;
        return std::hash<std::string> {}(name.key) ^ (name.cell.value() * goldenRatio);
    }
};
