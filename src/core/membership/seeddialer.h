/// Finds other hosts by the addresses that the settings name.
#pragma once

#include <flamingograde/clock.h>

#include <cstdint>

namespace flamingograde {

class Blackboard;

/// How many seeds are dialled at once.
enum class SeedEffort : std::uint8_t {
    All,        ///< All of them, by every host.
    OneAtATime, ///< One drawn at random; by hubs only, once this host has met others.
};

/// Dials seed addresses at which no connected host is.
///
/// Often while this host is alone; seldom otherwise, so that parts of a fleet that lost each other
/// meet again. In a fleet of 295 hosts that start together, three seeds get 100 connections each in
/// place of 295 if each host dials one.
/// @remarks Not thread safe.
class SeedDialer
{
public:
    explicit SeedDialer(SeedEffort chosen) : effort(chosen) {}

    /// Dials what is due. Precondition: to be called on each `Tick`.
    auto tick(Blackboard &board) -> void;
    /// Dials with the next tick: the seeds changed. Precondition: `tick` was called.
    auto hurry() -> void { this->next = MonoTime(); }

private:
    [[nodiscard]] auto pause(const Blackboard &board) const -> Duration;

    SeedEffort effort;
    MonoTime next;
};

} // namespace flamingograde
