/// What the table's weights give to rows that compete.
#pragma once

#include <vector>

/// A row's claim.
struct Demand
{
    double weight = 1;
    double asked = 0; ///< What it would take if there were enough.
};

/// Divides `total` by weight so that no row gets more than it asked for; what one leaves goes to
/// the others by weight (weighted max-min fairness).
/// @returns the parts in the order of `demands`.
[[nodiscard]] auto fairShares(double total, const std::vector<Demand> &demands)
        -> std::vector<double>;
