/// Collects the findings of one text.
#pragma once

#include <flamingograde/finding.h>

#include "table/place.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace flamingograde {

/// The findings of one text while it is being read.
/// @remarks Not thread safe.
class FindingList
{
public:
    /// @param name the file that the findings carry. Precondition: none.
    explicit FindingList(std::string_view name) : file(name) {}

    /// Adds a finding; above `config::findingsMax` it is only counted.
    /// @param place where the fault is.
    /// @param what what is wrong.
    /// @param mend how to mend it.
    /// Precondition: none.
    auto add(Place place, std::string what, std::string mend) -> void;

    /// Returns whether nothing was found. Precondition: none.
    [[nodiscard]] auto isEmpty() const -> bool { return this->list.empty(); }

    /// Returns the findings in the order of their place and forgets them. Precondition: none.
    [[nodiscard]] auto takeSorted() -> Findings;

private:
    std::string file;
    Findings list;
    std::size_t untold = 0;
};

} // namespace flamingograde
