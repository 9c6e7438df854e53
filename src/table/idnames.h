/// Detects different names that have the same id.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

namespace flamingograde {

/// Maps each id to the first name that it was derived from.
/// @remarks Not thread safe.
template<typename Id>
class IdNames
{
public:
    /// Records that `id` was derived from `name`.
    /// @returns the different name recorded earlier for `id`, or an empty string if there is none.
    /// Precondition: none.
    [[nodiscard]] auto record(Id id, std::string_view name) -> std::string_view
    {
        const auto [entry, isNew] = this->names.emplace(id, name);
        return entry->second == name ? std::string_view() : std::string_view(entry->second);
    }

private:
    std::unordered_map<Id, std::string> names;
};

} // namespace flamingograde
