/// Finds what is used twice.
#pragma once

#include "table/place.h"

#include <unordered_map>

namespace flamingograde {

/// Remembers where each key was used first.
/// @remarks Not thread safe.
template<typename Key>
class FirstUses
{
public:
    /// Notes that `key` is used at `place`.
    /// @returns the place of its first use if there was one, else null; valid until the next call.
    /// Precondition: none.
    [[nodiscard]] auto note(const Key &key, Place place) -> const Place *
    {
        const auto [entry, isNew] = this->places.emplace(key, place);
        return isNew ? nullptr : &entry->second;
    }

private:
    std::unordered_map<Key, Place> places;
};

} // namespace flamingograde
