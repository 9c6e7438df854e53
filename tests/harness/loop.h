/// The event loop of a test program.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <functional>
#include <stdexcept>

namespace harness {

using Millis = std::chrono::milliseconds;

inline constexpr Millis defaultLimit { 20000 }; ///< Default time limit for an expected event.

/// Thrown by a wait after SIGINT or SIGTERM, so that stack unwinding kills all child processes.
struct Interrupted : std::runtime_error
{
    explicit Interrupted(int number) : std::runtime_error("interrupted"), signal(number) {}
    int signal;
};

/// Runs the callbacks of pipes, timers and sockets while the test waits.
/// @remarks Not thread safe. Handles SIGINT and SIGTERM during its lifetime; ignores SIGPIPE.
class Loop
{
public:
    Loop();

    [[nodiscard]] auto context() -> boost::asio::io_context & { return this->io; }

    /// Runs callbacks until `done` returns true or `limit` has passed. Throws `Interrupted` after a
    /// signal.
    /// @returns whether `done` returned true.
    auto waitUntil(const std::function<bool()> &done, Millis limit = defaultLimit) -> bool;

    /// Runs callbacks for `time`.
    auto runFor(Millis time) -> void;

private:
    boost::asio::io_context io;
    boost::asio::signal_set signals;
    int signal = 0;
};

} // namespace harness
