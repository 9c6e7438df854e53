/// Finds other hosts by the addresses that the settings name.
#pragma once

#include <flamingograde/clock.h>

namespace flamingograde {

class Blackboard;

/// Dials seed addresses at which no connected host is.
///
/// Often while this host is alone; seldom otherwise, so that parts of a fleet that lost each other
/// meet again.
/// @remarks Not thread safe.
class SeedDialer
{
public:
    /// Dials what is due. Precondition: to be called on each `Tick`.
    auto tick(Blackboard &board) -> void;
    /// Dials with the next tick: the seeds changed. Precondition: `tick` was called.
    auto hurry() -> void { this->next = MonoTime(); }

private:
    MonoTime next;
};

} // namespace flamingograde
