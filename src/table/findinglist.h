/// Collects the errors found in one text.
#pragma once

#include <flamingograde/finding.h>

#include "table/textposition.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace flamingograde {

/// The findings of one text, collected while it is parsed.
/// @remarks Not thread safe.
class FindingList
{
public:
    /// @param fileName the file that the findings name. Precondition: none.
    explicit FindingList(std::string_view fileName) : file(fileName) {}

    /// Adds a finding; once `config::findingsMax` are stored, further ones are only counted.
    /// @param position the position of the error.
    /// @param message the error.
    /// @param hint how to correct it.
    /// Precondition: none.
    auto add(TextPosition position, std::string message, std::string hint) -> void;

    /// Returns whether the list has no findings. Precondition: none.
    [[nodiscard]] auto isEmpty() const -> bool { return this->list.empty(); }

    /// Returns the findings sorted by position and clears the list. If some were only counted, a
    /// last finding states how many. Precondition: none.
    [[nodiscard]] auto takeSorted() -> Findings;

private:
    std::string file;
    Findings list;
    std::size_t omitted = 0;
};

} // namespace flamingograde
