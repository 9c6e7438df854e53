/// What an answer says of whether its request was run.
#pragma once

#include <string>
#include <string_view>

namespace standins {

/// A verdict as the header carries it; `None` for no answer or no verdict.
enum class Verdict {
    None,
    Run,
    NotRun,
    Unknown,
};

/// Returns the verdict whose word is `word`.
[[nodiscard]] inline auto verdictOf(std::string_view word) -> Verdict
{
    if (word == "run") {
        return Verdict::Run;
    }
    if (word == "not-run") {
        return Verdict::NotRun;
    }
    return word == "unknown" ? Verdict::Unknown : Verdict::None;
}

/// Returns the word of `verdict`.
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
