/// Sections of the ring of upstreams.
#include "core/packets/ringsubset.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <cmath>

namespace flamingograde {

auto ringSubset(std::size_t rank, std::size_t hosts, const std::vector<bool> &usable)
        -> std::vector<SubsetPart>
{
    const auto size = static_cast<double>(usable.size());
    const auto perHost = size / static_cast<double>(hosts);
    const auto sections = std::max(config::subsetHosts, config::subsetUpstreamsMin / perHost);
    const auto width = std::min(perHost * std::ceil(sections), size);
    const auto start = perHost * static_cast<double>(rank);
    const auto first = static_cast<std::size_t>(start);
    std::vector<SubsetPart> subset;
    auto left = width;
    const auto isAll = width >= size;
    const auto firstPart = isAll ? 1 : 1 - (start - std::floor(start));
    for (std::size_t step = 0; step < usable.size() && left > 0; ++step) {
        const auto position = (first + step) % usable.size();
        const auto part = std::min(step == 0 ? firstPart : 1, left);
        if (usable[position]) {
            subset.push_back({ position, part });
            left -= part;
        }
    }
    if (left > 0 && !subset.empty() && usable[first % usable.size()]) {
        subset.front().part += std::min(left, 1 - firstPart); // The section ends where it began.
    }
    return subset;
}

} // namespace flamingograde
