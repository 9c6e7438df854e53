/// Converts durations for logs and dumps.
#pragma once

#include <flamingograde/clock.h>

#include <chrono>
#include <cstdint>

namespace flamingograde {

/// Returns `duration` in whole milliseconds, rounded towards 0. Precondition: none. Thread safe.
[[nodiscard]] inline auto milliseconds(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace flamingograde
