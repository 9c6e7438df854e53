/// Time types of the two clocks that the library uses.
#pragma once

#include <chrono>

namespace flamingograde {

using Duration = std::chrono::microseconds; ///< The unit of all durations in the library.

/// Tag of the monotonic clock. It also advances while the process is paused.
struct MonoClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonoClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): as in std.
};

/// Tag of the wall clock, counted from 1970. The clocks of any two parties differ by at most
/// `config::clockBound`.
struct WallClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<WallClock>;
    static constexpr bool is_steady = false; // NOLINT(readability-identifier-naming): as in std.
};

using MonoTime = MonoClock::time_point;
using WallTime = WallClock::time_point;

/// One reading of both clocks.
struct Now
{
    MonoTime mono;
    WallTime wall;
};

} // namespace flamingograde
