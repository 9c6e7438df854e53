/// When a host reads the changes that its directory may lack.
#pragma once

#include <flamingograde/clock.h>

#include <optional>

namespace flamingograde {

class Blackboard;

/// Schedules the read that shows whether the directory is current, if no other host shows it.
///
/// Hosts that start together spread their reads over a time that grows with the hosts that they
/// know; those that hear of a current directory meanwhile do not read.
/// @remarks Not thread safe.
class ConfirmationRead
{
public:
    /// Waits for other hosts for `delay`. Precondition: the directory counts as outdated.
    auto begin(MonoTime now, Duration delay) -> void;

    /// Returns whether to read now. Precondition: called on each `Tick` while the directory counts
    /// as outdated.
    [[nodiscard]] auto isDue(Blackboard &board) -> bool;

private:
    MonoTime notBefore;
    std::optional<MonoTime> dueAt;
};

} // namespace flamingograde
