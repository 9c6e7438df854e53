/// Whether a request was run by an upstream.
#pragma once

#include <cstdint>
#include <string_view>

namespace flamingograde {

/// States in an answer whether the request was run.
enum class Verdict : std::uint8_t {
    Run,     ///< An upstream ran it and this is its answer.
    NotRun,  ///< This attempt was not sent to an upstream, or the upstream shed it without running
             ///< it.
    Unknown, ///< It may have been sent to an upstream, which may have run it.
};

/// Returns "run", "not-run" or "unknown", the text that answers carry.
/// @remarks Thread safe.
[[nodiscard]] auto toString(Verdict verdict) -> std::string_view;

} // namespace flamingograde
