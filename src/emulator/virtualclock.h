/// Discrete-event scheduler with virtual time.
#pragma once

#include <flamingograde/clock.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

namespace flamingograde::emulator {

/// Runs tasks in order of due time; tasks due at the same time run in the order they were
/// scheduled.
/// @remarks Not thread safe.
class VirtualClock
{
public:
    using Task = std::function<void()>;

    /// Returns the current virtual time. Precondition: none.
    [[nodiscard]] auto now() const -> MonoTime { return this->time; }

    /// Runs `task` after `delay`. Precondition: `delay` is not negative.
    auto later(Duration delay, Task task) -> void;

    /// Runs all tasks due within `duration`. Precondition: not called from a task.
    auto run(Duration duration) -> void;

    /// Runs tasks until `done` holds between two tasks, or for at most `maxDuration`.
    /// @returns the elapsed virtual time, or nothing if `done` did not hold within `maxDuration`.
    /// Precondition: not called from a task.
    auto runUntil(const std::function<bool()> &done, Duration maxDuration)
            -> std::optional<Duration>;

private:
    struct Pending
    {
        MonoTime at;
        std::uint64_t order = 0;
        Task task;
    };
    struct IsLater
    {
        auto operator()(const Pending &a, const Pending &b) const -> bool
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    MonoTime time { std::chrono::seconds(1000) };
    std::uint64_t lastOrder = 0;
    std::priority_queue<Pending, std::vector<Pending>, IsLater> pending;
};

} // namespace flamingograde::emulator
