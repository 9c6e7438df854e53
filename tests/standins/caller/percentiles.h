/// Percentiles of measured times.
#pragma once

#include "standins/common/asio.h"

#include <vector>

namespace standins {

/// Collects times in milliseconds.
/// @remarks Not thread safe.
class Percentiles
{
public:
    auto add(double ms) -> void { this->values.push_back(static_cast<float>(ms)); }

    /// Returns p50, p99, p999 and the largest; nulls where nothing was measured.
    [[nodiscard]] auto toJson() const -> Json;

private:
    std::vector<float> values;
};

} // namespace standins
