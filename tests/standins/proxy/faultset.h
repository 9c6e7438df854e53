/// The faults in force.
#pragma once

#include "standins/proxy/conditions.h"
#include "standins/proxy/fault.h"

#include <cstdint>
#include <map>
#include <string>

namespace standins {

class Sides;
struct Route;

/// Numbers faults and tells their joint effect.
/// @remarks Not thread safe. `sides` outlives it.
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
    /// Returns whether `fault` is for connections of `route`.
    [[nodiscard]] auto matches(const Fault &fault, const Route &route) const -> bool;
    /// Returns the joint effect on connections of `route`.
    [[nodiscard]] auto conditionsOf(const Route &route) const -> Conditions;

private:
    const Sides &sides;
    std::uint64_t lastNumber = 0;
    std::map<std::uint64_t, Fault> faults;
};

} // namespace standins
