#include "fairshare.h"

#include <cstddef>

auto fairShares(double total, const std::vector<Demand> &demands) -> std::vector<double>
{
    std::vector<double> shares(demands.size(), 0.0);
    std::vector<bool> isFull(demands.size(), false);
    auto left = total;
    for (std::size_t round = 0; round < demands.size(); ++round) {
        double weights = 0;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            weights += isFull[i] ? 0.0 : demands[i].weight;
        }
        bool filled = false;
        auto given = 0.0;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            if (!isFull[i] && demands[i].asked <= left * demands[i].weight / weights) {
                shares[i] = demands[i].asked;
                given += demands[i].asked;
                isFull[i] = filled = true;
            }
        }
        left -= given;
        if (filled) {
            continue;
        }
        for (std::size_t i = 0; i < demands.size(); ++i) {
            shares[i] = isFull[i] ? shares[i] : left * demands[i].weight / weights;
        }
        return shares;
    }
    return shares;
}
