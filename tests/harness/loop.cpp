#include "harness/loop.h"

#include <algorithm>
#include <csignal>

namespace harness {

namespace {

constexpr Millis maxPollInterval { 20 }; ///< Longest time between two evaluations of the condition.

} // namespace

Loop::Loop() : signals(this->io, SIGINT, SIGTERM)
{
    std::signal(SIGPIPE, SIG_IGN);
    this->signals.async_wait([this](const boost::system::error_code &error, int number) {
        if (!error) {
            this->signal = number;
        }
    });
}

auto Loop::waitUntil(const std::function<bool()> &done, Millis limit) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!done()) {
        const auto now = std::chrono::steady_clock::now();
        if (now >= deadline) {
            return false;
        }
        this->io.restart();
        this->io.run_one_until(std::min(deadline, now + maxPollInterval));
        if (this->signal != 0) {
            throw Interrupted(this->signal);
        }
    }
    return true;
}

auto Loop::runFor(Millis time) -> void
{
    this->waitUntil([] { return false; }, time);
}

} // namespace harness
