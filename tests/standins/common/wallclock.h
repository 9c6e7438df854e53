/// The wall clock that callers and upstreams share.
#pragma once

#include <chrono>
#include <cstdint>

namespace standins {

/// Returns the milliseconds since the Unix epoch (1970).
[[nodiscard]] inline auto wallMillis() -> std::int64_t
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace standins
