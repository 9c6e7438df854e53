/// What is known of one upstream beside the table.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/clock.h>
#include <flamingograde/upstream.h>

#include <cstdint>
#include <optional>

namespace flamingograde {

/// What traffic showed and what its probes said. Times in the past stand for "not".
struct UpstreamHealth
{
    Address address;                             ///< As the table had it.
    UpstreamState state = UpstreamState::Active; ///< As the table had it.
    std::uint32_t failures = 0;                  ///< In a row, of traffic.
    std::uint32_t ejections = 0;                 ///< In a row; doubles the time out.
    bool ejected = false;                        ///< Out of rotation until `ejectedUntil`.
    MonoTime ejectedUntil;
    std::optional<MonoTime> rampSince;    ///< Cold since then; nothing: warm.
    MonoTime pausedUntil;                 ///< It shed and asked for this pause.
    std::optional<double> slotLimit;      ///< Slots left by shedding; nothing: all.
    std::optional<MonoTime> lastSuccess;  ///< Of traffic.
    std::optional<MonoTime> doubtedSince; ///< Probes say that it is not well.
    bool saysDraining = false;            ///< Its health endpoint says so.
    double load = -1;                     ///< Its load endpoint's word; negative: nothing.
    MonoTime nextProbe;
    bool drainLogged = false; ///< `UpstreamDrained` was logged.
};

} // namespace flamingograde
