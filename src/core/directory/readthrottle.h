/// Limits how many hosts read the whole directory from the platform at the same time.
#pragma once

#include <flamingograde/clock.h>

#include <cstddef>
#include <optional>

namespace flamingograde {

class Blackboard;

/// Decides when a host that reads the whole directory leaves the platform to other hosts.
///
/// When all hosts start together, each needs the whole directory, which is more than the platform's
/// link carries in a short time: 3 MB for 6,000 upstreams, 584 times. A host whose answer arrives
/// slowly stops its read unless it is the candidate of its zone; if answers stay slow, only the
/// elected readers go on. The others get the directory from these, and read again if nobody sends
/// it. Hosts whose view of the fleet is not complete yet may go on for too long, never too few: a
/// host that knows no better candidate goes on.
///
/// An answer that is nearly complete is read to its end, so small directories are read as before,
/// as are platforms that answer late but then at full rate.
/// @remarks Not thread safe.
class ReadThrottle
{
public:
    /// Begins a read. Precondition: none.
    auto begin() -> void;

    /// Records the progress of an answer. Precondition: a read began.
    /// @param received bytes of the current answer that have arrived.
    /// @param size bytes of the whole answer; 0 if unknown.
    auto noteProgress(std::size_t received, std::size_t size, MonoTime now) -> void;

    /// Records that a page was read and another one follows. Precondition: a read began.
    auto notePage() -> void;

    /// Returns whether to stop the read now. Precondition: a read is in progress; called on each
    /// `Tick`.
    [[nodiscard]] auto isYieldDue(const Blackboard &board) -> bool;

    /// Records that the read was stopped. @returns how long to wait before the next one; grows with
    /// each stop. Precondition: `isYieldDue` returned true.
    auto yield() -> Duration;

private:
    [[nodiscard]] auto isAlmostComplete(double bytesPerSecond) const -> bool;

    std::optional<MonoTime> windowBegan; ///< Of the measurement of the rate; none: no byte arrived.
    std::size_t windowBytes = 0;         ///< Bytes that arrived since then.
    std::size_t answerBytes = 0;         ///< Bytes of the current answer that have arrived.
    std::size_t answerSize = 0;          ///< Bytes of the current answer; 0: unknown.
    unsigned slowWindows = 0;            ///< Of the current read, in which the rate was too low.
    unsigned yields = 0;                 ///< Reads stopped since the start.
};

} // namespace flamingograde
