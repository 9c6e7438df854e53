/// A one-shot timer of the event loop.
#pragma once

#include <flamingograde/clock.h>

#include <cstdint>

namespace flamingograde::net {

class Loop;

/// Handle of a task that the loop runs later; destroying the handle cancels the task.
/// @remarks Not thread safe. Must not outlive its loop.
class Timer
{
public:
    Timer() = default;
    Timer(Loop &owner, MonoTime time, std::uint64_t number)
        : loop(&owner), due(time), sequence(number)
    {}
    ~Timer() { this->cancel(); }
    Timer(const Timer &) = delete;
    auto operator=(const Timer &) -> Timer & = delete;
    Timer(Timer &&other) noexcept : loop(other.loop), due(other.due), sequence(other.sequence)
    {
        other.loop = nullptr;
    }
    auto operator=(Timer &&other) noexcept -> Timer &;

    /// Cancels the task if it has not run yet. Precondition: none.
    auto cancel() -> void;

private:
    Loop *loop = nullptr;
    MonoTime due;
    std::uint64_t sequence = 0;
};

} // namespace flamingograde::net
