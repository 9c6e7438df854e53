#include "standins/caller/percentiles.h"

#include <algorithm>
#include <cstddef>

namespace standins {

auto Percentiles::toJson() const -> Json
{
    if (this->values.empty()) {
        return { { "p50", nullptr }, { "p99", nullptr }, { "p999", nullptr }, { "max", nullptr } };
    }
    std::vector<float> sorted = this->values;
    std::sort(sorted.begin(), sorted.end());
    const auto at = [&sorted](double share) {
        const auto last = static_cast<double>(sorted.size() - 1);
        return sorted[static_cast<std::size_t>(last * share)];
    };
    return { { "p50", at(0.5) }, { "p99", at(0.99) }, { "p999", at(0.999) }, { "max", at(1) } };
}

} // namespace standins
