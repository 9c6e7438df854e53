/// Collects the changes between two tables.
#pragma once

#include <flamingograde/tablediff.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace flamingograde {

/// The changes between two tables while they are compared.
/// @remarks Not thread safe.
class ChangeList
{
public:
    /// Adds a change.
    /// @param what what changes.
    /// @param risk what is dangerous about it; empty for nothing.
    /// Precondition: none.
    auto add(std::string what, std::string risk = {}) -> void;

    /// Adds a change of one field if the values differ.
    /// @param subject whose field it is, such as `row "papers"`.
    /// @param risk what is dangerous about it; empty for nothing.
    /// Precondition: none.
    auto compare(const std::string &subject, std::string_view field, const std::string &before,
                 const std::string &after, std::string risk = {}) -> void;

    /// Returns the changes and forgets them. Precondition: none.
    [[nodiscard]] auto take() -> std::vector<TableChange>
    {
        return std::exchange(this->changes, {});
    }

private:
    std::vector<TableChange> changes;
};

} // namespace flamingograde
