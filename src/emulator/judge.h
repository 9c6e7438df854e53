/// Collects request results and counts invariant violations.
#pragma once

#include "emulator/dayresult.h"
#include "emulator/emulatedcaller.h"

#include <flamingograde/clock.h>

#include <cstdint>
#include <map>
#include <string>

namespace flamingograde::emulator {

/// Collects results as observed by callers and upstreams, independent of what the hosts report.
/// @remarks Not thread safe.
class Judge
{
public:
    /// Starts the first window. Precondition: called once, before the first request ends.
    auto begin(MonoTime now) -> void { this->started = now; }
    /// Records the result of a request by a caller in `zone`.
    auto take(const std::string &zone, const RequestResult &result) -> void;
    /// Records a run of an attempt; a repeated run counts as a violation unless `isIdempotent`.
    auto noteRun(std::uint64_t request, bool isIdempotent) -> void;

    DayResult day; ///< Results collected so far.

private:
    static constexpr Duration window = std::chrono::seconds(2);

    MonoTime started;
    std::map<std::uint64_t, std::uint32_t> runs; ///< Number of runs by attempt.
};

} // namespace flamingograde::emulator
