/// Percentiles of durations.
#pragma once

#include "standins/common/asio.h"

#include <vector>

namespace standins {

/// Collects durations in milliseconds and computes their percentiles.
/// @remarks Not thread safe.
class Percentiles
{
public:
    auto add(double ms) -> void { this->values.push_back(static_cast<float>(ms)); }

    /// Returns `p50`, `p99`, `p999` and `max`; all are null if no value was added.
    [[nodiscard]] auto toJson() const -> Json;

private:
    std::vector<float> values;
};

} // namespace standins
