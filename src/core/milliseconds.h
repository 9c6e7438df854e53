/// Durations as logs and dumps tell them.
#pragma once

#include <flamingograde/clock.h>

#include <chrono>
#include <cstdint>

namespace flamingograde {

/// Returns whole milliseconds. Precondition: none. Thread safe.
[[nodiscard]] inline auto milliseconds(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace flamingograde
