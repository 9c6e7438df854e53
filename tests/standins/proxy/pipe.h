/// One direction of a proxied connection.
#pragma once

#include "standins/common/asio.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

namespace standins {

/// Bytes on their way from one end to the other.
struct Pipe
{
    using Time = std::chrono::steady_clock::time_point;

    /// Bytes that wait, or the end of the stream.
    struct Item
    {
        Time due;
        std::string bytes; ///< Empty: the end of the stream.
    };

    std::deque<Item> items;
    std::size_t queuedBytes = 0;
    std::unique_ptr<asio::steady_timer> timer; ///< For the first item; made when needed.
    bool timing = false;
    bool reading = false; ///< Waits for the source end to be readable.
    bool writing = false; ///< Waits for the target end to be writable.
    bool ended = false;   ///< The source end has sent its last byte.
    bool endPassed = false;
    double allowance = 0; ///< Bytes that may pass now under a limit.
    Time allowanceAt;     ///< When `allowance` was last raised.
};

} // namespace standins
