/// Generates days with random troubles.
#pragma once

#include "emulator/plan.h"

#include <cstdint>

namespace flamingograde::emulator {

/// Returns `day` with three to six random troubles at random times and, on some seeds, packet
/// loss. Deterministic per seed. Precondition: the day has two zones and two services.
/// @remarks Thread safe.
[[nodiscard]] auto randomDay(DayPlan day, std::uint64_t seed) -> DayPlan;

/// Returns `day` with five to thirteen troubles of every kind except evacuations, otherwise like
/// `randomDay`. Precondition: the day has two zones and two services.
/// @remarks Thread safe.
[[nodiscard]] auto crowdedDay(DayPlan day, std::uint64_t seed) -> DayPlan;

/// Returns `day` with five to thirteen troubles of the kinds of `crowdedDay` and evacuations, plus
/// one to three evacuations. Precondition: the day has two zones and two services.
/// @remarks Thread safe.
[[nodiscard]] auto evacuatedDay(DayPlan day, std::uint64_t seed) -> DayPlan;

/// Returns `day` with three to six troubles of the kinds of `evacuatedDay`, one to three restores
/// of the store from an older copy, versions of the rows and replaced upstreams. Precondition: the
/// day has two zones and two services.
/// @remarks Thread safe.
[[nodiscard]] auto restoredDay(DayPlan day, std::uint64_t seed) -> DayPlan;

/// Returns `day` with other troubles: at intervals the hosts of all zones but one are lost, once or
/// twice, by losses of power, kills, freezes or cuts, and rows and the release of an upstream
/// begin at a random moment of it, mostly just after. Reads that accept an old copy get one of up
/// to 3 s, and on most seeds all seeds are in the zone that is spared first. Precondition: the day
/// has two zones.
/// @remarks Thread safe.
[[nodiscard]] auto darkDay(DayPlan day, std::uint64_t seed) -> DayPlan;

} // namespace flamingograde::emulator
