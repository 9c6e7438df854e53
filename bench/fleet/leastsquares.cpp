#include "leastsquares.h"

auto leastSquares(const std::vector<Point> &points) -> Line
{
    const auto count = static_cast<double>(points.size());
    Point mean;
    for (const auto &point : points) {
        mean.x += point.x / count;
        mean.y += point.y / count;
    }
    double covariance = 0;
    double variance = 0;
    for (const auto &point : points) {
        covariance += (point.x - mean.x) * (point.y - mean.y);
        variance += (point.x - mean.x) * (point.x - mean.x);
    }
    const auto slope = covariance / variance;
    return { mean.y - slope * mean.x, slope };
}
