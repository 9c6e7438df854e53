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
    const auto valueAt = [&sorted](double quantile) {
        const auto last = static_cast<double>(sorted.size() - 1);
        return sorted[static_cast<std::size_t>(last * quantile)];
    };
    return { { "p50", valueAt(0.5) },
             { "p99", valueAt(0.99) },
             { "p999", valueAt(0.999) },
             { "max", valueAt(1) } };
}

} // namespace standins
