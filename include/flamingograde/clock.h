/// The two clocks whose readings are given to the library.
#pragma once

#include <chrono>

namespace flamingograde {

using Duration = std::chrono::microseconds; ///< The unit of all time in the library.

/// Tag of the clock that never jumps. It counts while the process is stopped.
struct MonoClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonoClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): as in std.
};

/// Tag of the clock that all parties share, up to `config::clockBound`. Counts from 1970.
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
