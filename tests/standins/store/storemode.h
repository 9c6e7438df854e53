/// How the store treats calls.
#pragma once

#include <cstdint>

namespace standins {

/// What happens to a call.
enum class StoreMode : std::uint8_t {
    Unknown, ///< Not a mode: a text that is none.
    Up,
    Busy,    ///< 503: nothing was done.
    Many,    ///< 429: too many calls.
    Silent,  ///< No answer.
    Reset,   ///< The connection is reset.
    Garbage, ///< Bytes that are no JSON.
};

} // namespace standins
