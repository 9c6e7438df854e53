/// Collects the changes between two routing tables while they are compared.
#pragma once

#include <flamingograde/tablediff.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace flamingograde {

/// The list that the comparison of two tables fills.
/// @remarks Not thread safe.
class ChangeList
{
public:
    /// Adds a change.
    /// @param what the change, in words.
    /// @param risk the danger of the change and how to avoid it; empty for a safe change.
    /// Precondition: none.
    auto add(std::string what, std::string risk = {}) -> void;

    /// Adds a change of one field if its values differ.
    /// @param subject the entry that has the field, such as `row "papers"`.
    /// @param before the old value.
    /// @param after the new value.
    /// @param risk the danger of the change and how to avoid it; empty for a safe change.
    /// Precondition: none.
    auto compare(const std::string &subject, std::string_view field, const std::string &before,
                 const std::string &after, std::string risk = {}) -> void;

    /// Returns the changes and clears the list. Precondition: none.
    [[nodiscard]] auto take() -> std::vector<TableChange>
    {
        return std::exchange(this->changes, {});
    }

private:
    std::vector<TableChange> changes;
};

} // namespace flamingograde
