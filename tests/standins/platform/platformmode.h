/// How the platform answers.
#pragma once

namespace standins {

/// The modes that the command `mode` sets.
enum class PlatformMode {
    Unknown,
    Up,
    Down,    ///< Closes each connection.
    Stale,   ///< Serves an earlier revision.
    Slow,    ///< Answers late.
    Garbage, ///< Answers with what is no table and no host list.
};

} // namespace standins
