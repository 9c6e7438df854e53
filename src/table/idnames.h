/// Finds names that have the same id.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

namespace flamingograde {

/// Remembers which name each id was made from.
/// @remarks Not thread safe.
template<typename Id>
class IdNames
{
public:
    /// Notes that `id` was made from `name`.
    /// @returns the other name that has the same id, or an empty text.
    /// Precondition: none.
    [[nodiscard]] auto note(Id id, std::string_view name) -> std::string_view
    {
        const auto [entry, isNew] = this->names.emplace(id, name);
        return entry->second == name ? std::string_view() : std::string_view(entry->second);
    }

private:
    std::unordered_map<Id, std::string> names;
};

} // namespace flamingograde
