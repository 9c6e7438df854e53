/// Formats values for printed tables and table diffs.
#include "table/formatting.h"

#include <cmath>

namespace flamingograde {

auto toString(UpstreamState state) -> std::string_view
{
    return state == UpstreamState::Active ? "active" : "draining";
}

auto toString(bool value) -> std::string_view
{
    return value ? "true" : "false";
}

auto toMilliseconds(Duration duration) -> std::uint64_t
{
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

auto percentText(double share) -> std::string
{
    constexpr double percentPerUnit = 100.0;
    return std::to_string(std::lround(share * percentPerUnit)) + "%";
}

} // namespace flamingograde
