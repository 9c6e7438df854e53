/// One direction of a proxied connection.
#pragma once

#include "standins/common/asio.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

namespace standins {

/// The queue of bytes from one end of a connection to the other.
struct Pipe
{
    using Time = std::chrono::steady_clock::time_point;

    /// Queued bytes, or the end of the stream.
    struct Item
    {
        Time due;
        std::string bytes; ///< Empty: the end of the stream.
    };

    std::deque<Item> items;
    std::size_t queuedBytes = 0;
    std::unique_ptr<asio::steady_timer> timer; ///< Delays the next write; created on first use.
    bool timerPending = false;
    bool readPending = false;  ///< Waiting until the source end is readable.
    bool writePending = false; ///< Waiting until the target end is writable.
    bool eofReceived = false;  ///< The source end has closed its sending direction.
    bool eofForwarded = false;
    double tokens = 0;     ///< Token bucket of the rate limit, in bytes.
    Time tokensRefilledAt; ///< When `tokens` was last refilled.
};

} // namespace standins
