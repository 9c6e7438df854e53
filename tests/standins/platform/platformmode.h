/// Fault modes of the platform stand-in.
#pragma once

namespace standins {

/// How the platform answers; set by the command `mode`.
enum class PlatformMode {
    Unknown,
    Up,
    Down,    ///< Closes each connection without an answer.
    Stale,   ///< Serves a given, earlier revision of the table.
    Slow,    ///< Answers after a given delay.
    Garbage, ///< Answers with bytes that are neither a table nor a host list.
};

} // namespace standins
