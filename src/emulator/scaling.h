/// Scales a day to a different number of hosts.
#pragma once

#include "emulator/plan.h"

#include <cstddef>

namespace flamingograde::emulator {

/// Returns a day with about `hosts` hosts and proportionally scaled upstreams and load.
/// Precondition: the day has at least one host.
/// @remarks Thread safe.
[[nodiscard]] auto scaledTo(const DayPlan &day, std::size_t hosts) -> DayPlan;

} // namespace flamingograde::emulator
