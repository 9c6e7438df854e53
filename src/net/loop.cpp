/// Implements the event loop and its timers.
#include "net/loop.h"

#include <h2o.h>

#include <algorithm>
#include <ctime>

namespace flamingograde::net {

namespace {

auto readClock(clockid_t clock) -> Duration
{
    timespec time {};
    clock_gettime(clock, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

auto Timer::operator=(Timer &&other) noexcept -> Timer &
{
    if (this != &other) {
        this->cancel();
        this->loop = std::exchange(other.loop, nullptr);
        this->due = other.due;
        this->sequence = other.sequence;
    }
    return *this;
}

auto Timer::cancel() -> void
{
    if (this->loop != nullptr) {
        this->loop->timers.erase({ this->due, this->sequence });
        this->loop = nullptr;
    }
}

Loop::Loop() : evloop(h2o_evloop_create()) {}

// The h2o event loop is not freed before the process exits: h2o 2.2 cannot destroy it.
Loop::~Loop() = default;

auto Loop::now() -> Now
{
    return { MonoTime(readClock(CLOCK_BOOTTIME)), WallTime(readClock(CLOCK_REALTIME)) };
}

auto Loop::after(Duration delay, Task task) -> Timer
{
    const auto due = Loop::now().mono + delay;
    const auto sequence = ++this->nextSequence;
    this->timers.emplace(Key { due, sequence }, std::move(task));
    return { *this, due, sequence };
}

auto Loop::defer(Task task) -> void
{
    this->deferred.push_back(std::move(task));
}

auto Loop::reportWrites() -> void
{
    h2o_timeout__do_post_callback(this->evloop);
}

auto Loop::turn(Duration longest) -> void
{
    this->reportWrites();
    auto wait = longest;
    if (!this->timers.empty()) {
        wait = std::min(wait, this->timers.begin()->first.first - Loop::now().mono);
    }
    if (this->tasksRan || !this->deferred.empty()) {
        wait = Duration(0);
    }
    const auto millis = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    h2o_evloop_run(this->evloop, static_cast<std::int32_t>(std::max<std::int64_t>(millis, 0)));
    const auto timersRan = this->runTimers();
    const auto deferredRan = this->runDeferred();
    this->tasksRan = timersRan || deferredRan;
}

auto Loop::runTimers() -> bool
{
    const auto now = Loop::now().mono;
    bool ran = false;
    while (!this->timers.empty() && this->timers.begin()->first.first <= now) {
        auto node = this->timers.extract(this->timers.begin());
        node.mapped()();
        ran = true;
    }
    return ran;
}

auto Loop::runDeferred() -> bool
{
    const auto tasks = std::exchange(this->deferred, {});
    for (const auto &task : tasks) {
        task();
    }
    return !tasks.empty();
}

} // namespace flamingograde::net
