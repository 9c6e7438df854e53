/// The one event loop of the process: sockets by h2o, timers, and both clocks.
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

/// Runs callbacks of sockets, timers and deferred tasks, all on the caller's thread.
/// @remarks Not thread safe.
class Loop
{
public:
    using Task = std::function<void()>;

    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    auto operator=(const Loop &) -> Loop & = delete;

    /// Returns h2o's loop. Precondition: none.
    [[nodiscard]] auto raw() const -> st_h2o_evloop_t * { return this->evloop; }

    /// Reads both clocks; the steady one counts while the machine is suspended.
    [[nodiscard]] static auto now() -> Now;

    /// Runs `task` after `delay`, unless the timer is destroyed first. Precondition: none.
    [[nodiscard]] auto after(Duration delay, Task task) -> Timer;

    /// Runs `task` at the end of this turn, outside of any socket's callback. Precondition: none.
    auto defer(Task task) -> void;

    /// Reports on writes made outside of h2o's run, whose callbacks h2o keeps for its next one.
    ///
    /// h2o frees a closed socket at the start of a run, before it looks at the sockets it has to
    /// report on: one that was written to and then closed between two runs would be used after it
    /// was freed. So each turn begins with this. Precondition: not called from a callback.
    auto reportWrites() -> void;

    /// Waits for sockets up to `longest`, then runs what is due. Does not wait after tasks of the
    /// last turn, which may have left something to be handled.
    /// Precondition: not called from a callback.
    auto turn(Duration longest) -> void;

private:
    friend class Timer;
    using Key = std::pair<MonoTime, std::uint64_t>;

    /// Run what is due. @returns whether anything ran.
    auto runTimers() -> bool;
    auto runDeferred() -> bool;

    st_h2o_evloop_t *evloop;
    std::map<Key, Task> timers;
    std::vector<Task> deferred;
    std::uint64_t nextSequence = 0;
    bool tasksRan = false; ///< In the last turn.
};

} // namespace flamingograde::net
