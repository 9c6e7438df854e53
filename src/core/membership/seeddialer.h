/// Finds other hosts through the seed addresses in the settings.
#pragma once

#include <flamingograde/clock.h>

#include <cstdint>

namespace flamingograde {

class Blackboard;

/// Which seeds are dialled at once, and by which hosts.
enum class SeedDialMode : std::uint8_t {
    All,        ///< Each host dials all seeds.
    OneAtATime, ///< Each host dials a random seed; once connected, only hubs go on dialling.
};

/// Dials the seed addresses that belong to no connected host.
///
/// Dials often while the local host has no connection, and seldom otherwise, so that partitions of
/// a fleet find each other again. In a fleet of 295 hosts that start together, three seeds receive
/// about 100 connections each instead of 295 if each host dials one seed.
/// @remarks Not thread safe.
class SeedDialer
{
public:
    explicit SeedDialer(SeedDialMode chosen) : mode(chosen) {}

    /// Dials the seeds that are due. Precondition: called on each `Tick`.
    auto tick(Blackboard &board) -> void;
    /// Makes the next tick dial, because the seeds changed.
    /// Precondition: `tick` was called.
    auto dialWithNextTick() -> void { this->nextDial = MonoTime(); }

private:
    [[nodiscard]] auto dialPeriod(const Blackboard &board) const -> Duration;

    SeedDialMode mode;
    MonoTime nextDial;
};

} // namespace flamingograde
