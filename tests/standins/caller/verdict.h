/// The verdict of an answer: whether the request was run by an upstream.
#pragma once

#include <string>
#include <string_view>

namespace standins {

/// The value of the `Flamingograde-Verdict` header; `None` if there is no answer or no such header.
enum class Verdict {
    None,
    Run,
    NotRun,
    Unknown,
};

/// Parses a header value. Returns `None` if `word` is not a known verdict.
[[nodiscard]] inline auto parseVerdict(std::string_view word) -> Verdict
{
    if (word == "run") {
        return Verdict::Run;
    }
    if (word == "not-run") {
        return Verdict::NotRun;
    }
    return word == "unknown" ? Verdict::Unknown : Verdict::None;
}

/// Returns the header value for `verdict`, or `none` for `Verdict::None`.
[[nodiscard]] inline auto toString(Verdict verdict) -> std::string
{
    switch (verdict) {
    case Verdict::Run:
        return "run";
    case Verdict::NotRun:
        return "not-run";
    case Verdict::Unknown:
        return "unknown";
    case Verdict::None:
        break;
    }
    return "none";
}

} // namespace standins
