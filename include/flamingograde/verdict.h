/// Whether a request was run.
#pragma once

#include <cstdint>
#include <string_view>

namespace flamingograde {

/// What an answer says about the request's execution.
enum class Verdict : std::uint8_t {
    Run,     ///< An upstream ran it and this is its answer.
    NotRun,  ///< Nothing was sent to any upstream for this attempt, or the upstream shed it unrun.
    Unknown, ///< It may have been sent; only the upstream knows.
};

/// Returns "run", "not-run" or "unknown", as answers carry it.
/// @remarks Thread safe.
[[nodiscard]] auto toString(Verdict verdict) -> std::string_view;

} // namespace flamingograde
