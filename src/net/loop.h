/// The event loop of the process: h2o sockets, timers, and the monotonic and wall clocks.
#pragma once

#include "net/timer.h"

#include <flamingograde/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

struct st_h2o_evloop_t;

namespace flamingograde::net {

/// Runs socket callbacks, timers and deferred tasks on the thread that calls `turn`.
/// @remarks Not thread safe.
class Loop
{
public:
    using Task = std::function<void()>;

    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    auto operator=(const Loop &) -> Loop & = delete;

    /// Returns the underlying h2o event loop. Precondition: none.
    [[nodiscard]] auto raw() const -> st_h2o_evloop_t * { return this->evloop; }

    /// Reads both clocks. The monotonic clock keeps counting while the machine is suspended.
    [[nodiscard]] static auto now() -> Now;

    /// Runs `task` after `delay`, unless the timer is destroyed first. Precondition: none.
    [[nodiscard]] auto after(Duration delay, Task task) -> Timer;

    /// Runs `task` at the end of the current turn, outside any socket callback. Precondition: none.
    auto defer(Task task) -> void;

    /// Runs the completion callbacks of writes made outside `h2o_evloop_run`, which h2o would
    /// otherwise keep until its next run.
    ///
    /// h2o frees closed sockets at the start of a run, before it processes the sockets with pending
    /// completions: a socket that was written to and then closed between two runs would be used
    /// after it was freed. Therefore each turn calls this first. Precondition: not called from a
    /// callback.
    auto reportWrites() -> void;

    /// Waits for socket events for at most `longest`, then runs due timers and deferred tasks.
    /// Does not wait if the last turn ran timers or tasks, since they may have left work to do.
    /// Precondition: not called from a callback.
    auto turn(Duration longest) -> void;

private:
    friend class Timer;
    using Key = std::pair<MonoTime, std::uint64_t>;

    /// Runs the timers that are due. @returns whether any ran.
    auto runTimers() -> bool;
    /// Runs the deferred tasks. @returns whether any ran.
    auto runDeferred() -> bool;

    st_h2o_evloop_t *evloop;
    std::map<Key, Task> timers;
    std::vector<Task> deferred;
    std::uint64_t nextSequence = 0;
    bool tasksRan = false; ///< Whether the last turn ran a timer or a deferred task.
};

} // namespace flamingograde::net
