/// State of one upstream that is not part of the table.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/clock.h>
#include <flamingograde/upstream.h>

#include <cstdint>
#include <optional>

namespace flamingograde {

/// Health of an upstream as observed from traffic and probes. A time in the past means that the
/// state that it ends does not apply.
struct UpstreamHealth
{
    Address address;                             ///< From the latest table.
    UpstreamState state = UpstreamState::Active; ///< From the latest table.
    std::uint32_t failures = 0;                  ///< Consecutive failures of traffic.
    std::uint32_t ejections = 0;                 ///< Consecutive ejections; each doubles the next.
    bool ejected = false;                        ///< Out of rotation until `ejectedUntil`.
    MonoTime ejectedUntil;
    std::optional<MonoTime> rampSince;          ///< Since when it is cold; empty if warm.
    MonoTime pausedUntil;                       ///< End of the pause that it requested by shedding.
    std::optional<double> slotLimit;            ///< Reduced slots after shedding; empty: all.
    std::optional<MonoTime> lastSuccess;        ///< Last success of traffic.
    std::optional<MonoTime> failingProbesSince; ///< Since when its probes report a problem.
    bool saysDraining = false;                  ///< Its health endpoint reports draining.
    double load = -1;                           ///< Reported by its load endpoint; negative: none.
    MonoTime nextProbe;
    bool drainLogged = false; ///< `UpstreamDrained` has been logged.
};

} // namespace flamingograde
