/// Pauses between a host's reads of the directory.
#pragma once

#include <flamingograde/clock.h>

namespace flamingograde {

class Blackboard;

/// Keeps when the next read may begin: later after each failure, and a little later while changes
/// come quickly, so that they share a read.
/// @remarks Not thread safe. Throws nothing.
class ReadPause
{
public:
    /// Returns whether a read may begin. Precondition: none.
    [[nodiscard]] auto isOver(MonoTime now) const -> bool { return now >= this->until; }

    /// Lets the next read begin at once; the pause after the next failure is no shorter for it.
    /// Precondition: none.
    auto end(MonoTime now) -> void { this->until = now; }

    /// Begins a pause after a read that brought nothing: longer than the last one, if no read
    /// succeeded since. Precondition: `board.now` is set.
    auto noteFailure(Blackboard &board) -> void;

    /// Begins the pause after a read that succeeded. Precondition: none.
    auto noteAnswer(MonoTime now, bool hasChanges) -> void;

    /// Begins a pause that lasts from half of `longest` to `longest`, so that hosts do not read at
    /// the same time. Precondition: `board.now` is set, and `longest` is not negative.
    auto begin(Blackboard &board, Duration longest) -> void;

private:
    MonoTime until;
    MonoTime lastChange;    ///< When a read last brought changes.
    Duration backoff { 0 }; ///< Longest pause after the last failure; zero after a success.
};

} // namespace flamingograde
