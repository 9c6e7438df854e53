/// The active faults.
#pragma once

#include "standins/proxy/conditions.h"
#include "standins/proxy/fault.h"

#include <cstdint>
#include <map>
#include <string>

namespace standins {

class Sides;
struct Route;

/// Holds the active faults by number and computes their combined effect on a connection.
/// @remarks Not thread safe. `sides` must outlive it.
class FaultSet
{
public:
    explicit FaultSet(const Sides &sides) : sides(sides) {}

    /// Adds `fault`. @returns its number.
    auto add(const Fault &fault) -> std::uint64_t;
    /// Removes a fault. @throws std::invalid_argument for an unknown number.
    auto heal(std::uint64_t number) -> void;
    /// Removes all faults.
    auto healAll() -> void { this->faults.clear(); }
    /// Returns whether `fault` applies to connections of `route`.
    [[nodiscard]] auto matches(const Fault &fault, const Route &route) const -> bool;
    /// Returns the combined effect of all faults on connections of `route`.
    [[nodiscard]] auto conditionsOf(const Route &route) const -> Conditions;

private:
    const Sides &sides;
    std::uint64_t lastNumber = 0;
    std::map<std::uint64_t, Fault> faults;
};

} // namespace standins
