/// Weighted fair shares of competing rows.
#pragma once

#include <vector>

/// Demand of one row.
struct Demand
{
    double weight = 1;
    double requested = 0; ///< Amount that the row would use without competition.
};

/// Divides `total` by weighted max-min fairness: no row gets more than it requested, and what a row
/// leaves unused is divided among the others by weight.
/// @returns the shares in the order of `demands`.
[[nodiscard]] auto fairShares(double total, const std::vector<Demand> &demands)
        -> std::vector<double>;
