/// Least-squares line fit.
#pragma once

#include <nlohmann/json.hpp>

#include <vector>

/// A measured value `y` at `x`.
struct Point
{
    double x = 0;
    double y = 0;
};

/// The line `base + slope * x`.
struct Line
{
    double base = 0;
    double slope = 0;

    [[nodiscard]] auto toJson() const -> nlohmann::json
    {
        return { { "base", this->base }, { "slope", this->slope } };
    }
};

/// Returns the line with the least sum of squared distances in `y` from `points`.
/// Precondition: at least two points differ in `x`.
[[nodiscard]] auto leastSquares(const std::vector<Point> &points) -> Line;
