/// Runs a loop until something has happened.
#pragma once

#include "net/loop.h"

#include <chrono>
#include <functional>

namespace flamingograde::net {

/// Turns `loop` until `done` holds, at most `longest`.
/// @returns whether it holds.
inline auto runUntil(Loop &loop, const std::function<bool()> &done,
                     Duration longest = std::chrono::seconds(10)) -> bool
{
    const auto end = Loop::now().mono + longest;
    while (!done() && Loop::now().mono < end) {
        loop.turn(std::chrono::milliseconds(10));
    }
    return done();
}

} // namespace flamingograde::net
