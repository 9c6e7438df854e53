/// Collects the errors found in one text.
#include "table/findinglist.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace flamingograde {

auto FindingList::add(TextPosition position, std::string message, std::string hint) -> void
{
    if (this->list.size() == config::findingsMax) {
        ++this->omitted;
        return;
    }
    this->list.push_back(
            { this->file, position.line, position.column, std::move(message), std::move(hint) });
}

auto FindingList::takeSorted() -> Findings
{
    const auto isBefore = [](const Finding &a, const Finding &b) {
        return std::tie(a.line, a.column) < std::tie(b.line, b.column);
    };
    std::stable_sort(this->list.begin(), this->list.end(), isBefore);
    if (this->omitted > 0) {
        this->list.push_back({ this->file, this->list.back().line, this->list.back().column,
                               "there are " + std::to_string(this->omitted) + " more findings",
                               "fix these first" });
    }
    return std::exchange(this->list, {});
}

} // namespace flamingograde
