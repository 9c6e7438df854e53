/// Fault modes of the store stand-in.
#pragma once

#include <cstdint>

namespace standins {

/// How the store answers a call; set by the command `mode`.
enum class StoreMode : std::uint8_t {
    Unknown, ///< The text in the command is not the name of a mode.
    Up,
    Busy,            ///< Answers 503: unavailable, nothing was done.
    TooManyRequests, ///< Answers 429: too many requests.
    Silent,          ///< Never answers.
    Reset,           ///< Resets the connection.
    Garbage,         ///< Answers 200 with bytes that are not JSON.
};

} // namespace standins
