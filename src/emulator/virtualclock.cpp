/// Discrete-event scheduler with virtual time.
#include "emulator/virtualclock.h"

#include <utility>

namespace flamingograde::emulator {

auto VirtualClock::later(Duration delay, Task task) -> void
{
    this->pending.push({ this->time + delay, ++this->lastOrder, std::move(task) });
}

auto VirtualClock::run(Duration duration) -> void
{
    this->runUntil([] { return false; }, duration);
}

auto VirtualClock::runUntil(const std::function<bool()> &done, Duration maxDuration)
        -> std::optional<Duration>
{
    const auto begin = this->time;
    while (!this->pending.empty() && this->pending.top().at <= begin + maxDuration) {
        if (done()) {
            return this->time - begin;
        }
        const auto next = this->pending.top();
        this->pending.pop();
        this->time = next.at;
        next.task();
    }
    if (done()) {
        return this->time - begin;
    }
    this->time = begin + maxDuration;
    return std::nullopt;
}

} // namespace flamingograde::emulator
