/// Helpers that run a loop until a condition holds and count events.
#pragma once

#include "net/loop.h"

#include <flamingograde/event.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <variant>

namespace flamingograde::net {

/// Runs turns of `loop` until `done` returns true or `longest` has passed.
/// @returns whether `done` returned true.
inline auto runUntil(Loop &loop, const std::function<bool()> &done,
                     Duration longest = std::chrono::seconds(10)) -> bool
{
    const auto end = Loop::now().mono + longest;
    while (!done() && Loop::now().mono < end) {
        loop.turn(std::chrono::milliseconds(10));
    }
    return done();
}

/// Returns the number of `events` of type `E`.
template<typename E, typename Events>
[[nodiscard]] auto countOf(const Events &events) -> std::size_t
{
    return static_cast<std::size_t>(
            std::count_if(events.begin(), events.end(),
                          [](const Event &event) { return std::holds_alternative<E>(event); }));
}

} // namespace flamingograde::net
