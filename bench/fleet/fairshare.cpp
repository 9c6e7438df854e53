#include "fairshare.h"

#include <cstddef>

auto fairShares(double total, const std::vector<Demand> &demands) -> std::vector<double>
{
    std::vector<double> shares(demands.size(), 0.0);
    std::vector<bool> isSatisfied(demands.size(), false);
    auto left = total;
    for (std::size_t round = 0; round < demands.size(); ++round) {
        double weights = 0;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            weights += isSatisfied[i] ? 0.0 : demands[i].weight;
        }
        bool newlySatisfied = false;
        auto given = 0.0;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            if (!isSatisfied[i] && demands[i].requested <= left * demands[i].weight / weights) {
                shares[i] = demands[i].requested;
                given += demands[i].requested;
                isSatisfied[i] = newlySatisfied = true;
            }
        }
        left -= given;
        if (newlySatisfied) {
            continue;
        }
        for (std::size_t i = 0; i < demands.size(); ++i) {
            shares[i] = isSatisfied[i] ? shares[i] : left * demands[i].weight / weights;
        }
        return shares;
    }
    return shares;
}
