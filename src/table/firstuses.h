/// Detects keys that are used more than once in a text.
#pragma once

#include "table/textposition.h"

#include <unordered_map>

namespace flamingograde {

/// Maps each key to the position of its first use.
/// @remarks Not thread safe.
template<typename Key>
class FirstUses
{
public:
    /// Records that `key` is used at `position`.
    /// @returns the position of the first use if the key was used before, else null; valid until
    ///     the next call.
    /// Precondition: none.
    [[nodiscard]] auto record(const Key &key, TextPosition position) -> const TextPosition *
    {
        const auto [entry, isNew] = this->positions.emplace(key, position);
        return isNew ? nullptr : &entry->second;
    }

private:
    std::unordered_map<Key, TextPosition> positions;
};

} // namespace flamingograde
